/** Limits on callers outside the operators' control: connections, bytes, requests and times of the HTTP servers of a process. */
export { Ingress, type IngressReporter } from './ingress.ts'
export { IngressPort, mustCloseAfter, getConnection } from './ingress-port.ts'
export { readBody, type BodyError } from './read-body.ts'
export { DEFAULT_INGRESS_SETTINGS, INGRESS_TABLE, type IngressSettings } from './ingress-settings.ts'
export type { ProcessResources } from './process-resources.ts'
