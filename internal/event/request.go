package event

// Events of requests, attempts and caller connections: 2000 to 2999.
const (
	RequestServed         ID = 2001
	RequestRefused        ID = 2002
	RequestCancelled      ID = 2003
	AttemptFailed         ID = 2004
	AttemptRetried        ID = 2005
	StreamResumed         ID = 2006
	StreamBroken          ID = 2007
	AttemptHedged         ID = 2012
	ConnectionRefused     ID = 2013
	AttemptWithdrawn      ID = 2014
	StreamResumedByCaller ID = 2015
	CallerEnded           ID = 2020
)

var requestEvents = []Definition{
	{RequestServed, "request_served", Debug, "A request was answered in full."},
	{RequestRefused, "request_refused", Info, "A request was refused; detail has the code and whether it ran."},
	{RequestCancelled, "request_cancelled", Info, "The caller disconnected; the upstream was told to cancel the request. The detail tells how long the request had been here and how often it was sent."},
	{AttemptFailed, "attempt_failed", Warn, "An attempt at an upstream failed."},
	{AttemptRetried, "attempt_retried", Info, "A request is retried at another upstream."},
	{StreamResumed, "stream_resumed", Info, "An interrupted stream was resumed at its next event."},
	{StreamBroken, "stream_broken", Warn, "A stream ended early; its caller got an error event or a closed connection."},
	{AttemptHedged, "attempt_hedged", Info, "A second (hedged) attempt was started beside a slow first one."},
	{ConnectionRefused, "connection_refused", Warn, "A caller's connection was refused because too many are open."},
	{AttemptWithdrawn, "attempt_withdrawn", Warn, "A request that waited in an engine was cancelled there, because the engine's weights were replaced too long ago."},
	{StreamResumedByCaller, "stream_resumed_by_caller", Info, "A caller's later attempt resumes a stream; detail has the attempt that began it, the caller's last event and the software versions."},
	{CallerEnded, "caller_ended", Warn, "A caller was refused or its connection closed because memory is short. The detail has the reason: stalled (it sent or read nothing for a while), over_share (it held the most while a small request waited) or full (no memory became free in time)."},
}
