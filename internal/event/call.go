package event

// Events of at-most-once calls, leases and orders to upstreams: 6000 to 6999.
const (
	CallRecorded        ID = 6001
	CallRepeated        ID = 6002
	CallVoided          ID = 6003
	CallOutcomeLate     ID = 6004
	CallStreamReady     ID = 6005
	CallStreamStopped   ID = 6006
	CallLogUnavailable  ID = 6007
	CallLogAvailable    ID = 6008
	CallBatcherFailed   ID = 6009
	CallStreamSaved     ID = 6010
	LeaseTaken          ID = 6101
	LeaseLost           ID = 6102
	LeaseReleased       ID = 6103
	LeaseStreamStopped  ID = 6104
	OrderSent           ID = 6201
	OrderAccepted       ID = 6202
	OrderRefused        ID = 6203
	OrderOutcomeUnknown ID = 6204
	OrderWaits          ID = 6205
	UpstreamConverged   ID = 6206
)

var callEvents = []Definition{
	{CallRecorded, "call_recorded", Debug, "The intent of an at-most-once call is first in the log for its key; the call may be sent once."},
	{CallRepeated, "call_repeated", Info, "A repeated at-most-once call was answered without running it again; detail has what is known of the first run."},
	{CallVoided, "call_voided", Info, "An at-most-once call was cancelled before it was sent; its idempotency key may be used again."},
	{CallOutcomeLate, "call_outcome_late", Warn, "The outcome of an at-most-once call is not in the log yet; the append is retried."},
	{CallStreamReady, "call_stream_ready", Info, "This daemon has read a stream of calls without gaps and answers queries for it; detail has the stream."},
	{CallStreamStopped, "call_stream_stopped", Error, "A record of a stream of calls is corrupt or of an unknown version; calls of that stream are refused."},
	{CallLogUnavailable, "call_log_unavailable", Warn, "The log accepts no intents; at-most-once calls are refused, all other requests are served."},
	{CallLogAvailable, "call_log_available", Info, "The log accepts intents again."},
	{CallBatcherFailed, "call_batcher_failed", Warn, "The daemon that appends for a stream of calls did not answer; the next daemon is asked."},
	{CallStreamSaved, "call_stream_saved", Info, "A snapshot of a stream of calls was written to the log."},
	{LeaseTaken, "lease_taken", Info, "This daemon acquired the lease of a group of upstreams; detail has the fencing token."},
	{LeaseLost, "lease_lost", Warn, "This daemon's lease of a group of upstreams expired or was taken over; it sends no more orders to them."},
	{LeaseReleased, "lease_released", Info, "This daemon released a lease because no orders are left to send."},
	{LeaseStreamStopped, "lease_stream_stopped", Error, "A record of the stream of leases is corrupt or of an unknown version; no orders are sent."},
	{OrderSent, "order_sent", Info, "An order was sent to an upstream."},
	{OrderAccepted, "order_taken", Info, "An upstream accepted an order."},
	{OrderRefused, "order_refused", Warn, "An upstream refused an order."},
	{OrderOutcomeUnknown, "order_outcome_unknown", Warn, "It is unknown whether an upstream accepted an order; its state is read back."},
	{OrderWaits, "order_waits", Info, "An order is delayed; detail has the reason."},
	{UpstreamConverged, "upstream_converged", Info, "An upstream has reached the state that the configuration specifies."},
}
