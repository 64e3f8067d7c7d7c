import type { ChannelOptions } from '@grpc/grpc-js'

/** Options of the connections between members. */
export const CHANNEL_OPTIONS: ChannelOptions = {
  // With the global pool, a new client would reuse the unresponsive connection of an older client with the same address.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000
}
