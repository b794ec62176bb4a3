package event

// Events of fleet membership and of what daemons exchange: 5000 to 5999.
const (
	MemberJoined          ID = 5001
	MemberSuspected       ID = 5002
	MemberRefuted         ID = 5003
	MemberDied            ID = 5004
	MemberLeaving         ID = 5005
	MemberForgotten       ID = 5006
	VMListUnavailable     ID = 5007
	VMListAvailable       ID = 5008
	DataCentreUnreachable ID = 5009
	DataCentreReachable   ID = 5010
	SelfRefuted           ID = 5011
	ProcessPaused         ID = 5012
	ViewFetched           ID = 5013
	LeaveAnnounced        ID = 5014
	UpstreamStateChanged  ID = 5101
	UpstreamPollFailed    ID = 5102
	LoadSpreadFailed      ID = 5103
	StreamOriginNotSent   ID = 5104
	BuildsNotStored       ID = 5105
	StreamOriginFromStore ID = 5106
	UsageReportFailed     ID = 5201
	TimelineIncomplete    ID = 5301
)

var membershipEvents = []Definition{
	{MemberJoined, "member_joined", Info, "A VM of the fleet is alive."},
	{MemberSuspected, "member_suspected", Warn, "A VM does not answer probes; it has a few seconds to refute the suspicion."},
	{MemberRefuted, "member_refuted", Info, "A suspected VM proved to be alive."},
	{MemberDied, "member_died", Warn, "A VM was declared dead."},
	{MemberLeaving, "member_leaving", Info, "A VM is leaving the fleet and no longer owns anything."},
	{MemberForgotten, "member_forgotten", Debug, "A dead VM that is not in the platform's VM list was removed from the membership view."},
	{VMListUnavailable, "vm_list_unavailable", Warn, "The platform's VM list can't be read; the membership view is maintained by probes alone."},
	{VMListAvailable, "vm_list_available", Info, "The platform's VM list can be read again."},
	{DataCentreUnreachable, "data_centre_unreachable", Error, "Several consecutive probes of another data centre failed."},
	{DataCentreReachable, "data_centre_reachable", Info, "Another data centre answers probes again."},
	{SelfRefuted, "self_refuted", Warn, "Peers considered this VM suspect, dead or of an earlier incarnation; it refuted that."},
	{ProcessPaused, "process_paused", Warn, "This process was paused for a while; detail has how long."},
	{ViewFetched, "view_fetched", Info, "The first full membership view was fetched from a peer."},
	{LeaveAnnounced, "leave_announced", Info, "This VM announced to its peers that it is leaving."},
	{UpstreamStateChanged, "upstream_state_changed", Info, "An upstream's health, incarnation or weights version changed; detail has the new state."},
	{UpstreamPollFailed, "upstream_poll_failed", Debug, "A poll of an upstream by the daemon that owns it failed."},
	{LoadSpreadFailed, "load_spread_failed", Debug, "A digest of upstream loads did not reach a peer."},
	{StreamOriginNotSent, "stream_origin_not_sent", Debug, "The builds that began streams did not reach one of the daemons that keep them; detail has their number."},
	{BuildsNotStored, "builds_not_stored", Warn, "The builds of upstreams or of streams could not be loaded from the store or saved there; after a kill of all daemons streams may be refused."},
	{StreamOriginFromStore, "stream_origin_from_store", Info, "No daemon knew which build began a stream that a caller resumes; the store did. The error tells what was tried before."},
	{UsageReportFailed, "usage_report_failed", Warn, "A usage report did not reach the daemon that owns the workspace; limits are enforced with the last known totals."},
	{TimelineIncomplete, "timeline_incomplete", Warn, "Some VMs did not answer a request for the timeline; detail names them."},
}
