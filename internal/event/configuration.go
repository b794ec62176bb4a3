package event

// Events of publishing configurations: 4000 to 4999.
const (
	ConfigApplied          ID = 4001
	ConfigCommitted        ID = 4002
	ConfigRefused          ID = 4003
	ConfigLost             ID = 4004
	ConfigDuplicate        ID = 4005
	ConfigNacked           ID = 4006
	ConfigTakenOver        ID = 4007
	ConfigRecordUnreadable ID = 4008
	ConfigLogTrimmed       ID = 4009
	ConfigAppendFailed     ID = 4010
	ConfigLogUnavailable   ID = 4011
	ConfigLogAvailable     ID = 4012
	ConfigFetched          ID = 4013
	ConfigFetchFailed      ID = 4014
	ConfigUnusable         ID = 4015
)

var configurationEvents = []Definition{
	{ConfigApplied, "config_applied", Info, "A configuration version came into force on this VM."},
	{ConfigCommitted, "config_committed", Info, "A candidate configuration was committed in the log; it is in force everywhere."},
	{ConfigRefused, "config_refused", Warn, "A candidate configuration was rejected in the log; detail has the reasons."},
	{ConfigLost, "config_lost", Info, "A candidate configuration was superseded: another version came into force first."},
	{ConfigDuplicate, "config_duplicate", Info, "A candidate configuration is in the log twice; the second record has no effect."},
	{ConfigNacked, "config_nacked", Warn, "This VM rejects a candidate configuration; detail has the reasons."},
	{ConfigTakenOver, "config_taken_over", Warn, "This VM took over coordination of a candidate configuration because the VMs ranked before it did not decide it."},
	{ConfigRecordUnreadable, "config_record_unreadable", Error, "A record of the configuration stream can't be read; nothing is published until a later record restates the version in force. Requests are served as before."},
	{ConfigLogTrimmed, "config_log_trimmed", Warn, "Records of the configuration stream were deleted by the log's retention before this VM read them."},
	{ConfigAppendFailed, "config_append_failed", Warn, "An append to the configuration stream failed or its reply was lost; it is retried unless the record shows up."},
	{ConfigLogUnavailable, "config_log_unavailable", Warn, "The configuration stream can't be read; requests are served as before."},
	{ConfigLogAvailable, "config_log_available", Info, "The configuration stream can be read again."},
	{ConfigFetched, "config_fetched", Info, "A configuration was fetched from a peer."},
	{ConfigFetchFailed, "config_fetch_failed", Warn, "A configuration could not be fetched from a peer."},
	{ConfigUnusable, "config_unusable", Error, "The configuration in force can't be used on this VM, for instance because its site is missing."},
}
