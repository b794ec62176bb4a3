package event

// Events of the lifecycle of a process: 1000 to 1999.
const (
	DaemonStarted    ID = 1001
	DaemonDraining   ID = 1002
	DaemonStopped    ID = 1003
	DaemonFailed     ID = 1004
	SettingsLoaded   ID = 1006
	DaemonDetached   ID = 1007
	DaemonReattached ID = 1008
	SiteMissing      ID = 1009
	LibraryMessage   ID = 1010
)

var processEvents = []Definition{
	{DaemonStarted, "daemon_started", Info, "The daemon started and serves requests."},
	{DaemonDraining, "daemon_draining", Info, "A graceful shutdown began: no new requests are admitted, requests in progress finish."},
	{DaemonStopped, "daemon_stopped", Info, "The daemon stopped after its last request finished."},
	{DaemonFailed, "daemon_failed", Error, "The daemon could not start or could not continue."},
	{SettingsLoaded, "settings_loaded", Info, "The process settings were read and validated."},
	{DaemonDetached, "daemon_detached", Warn, "Neither the log nor any peer answers; the daemon admits no requests because a newer configuration version may be in force."},
	{DaemonReattached, "daemon_reattached", Info, "The log or a peer answers again; the daemon admits requests."},
	{SiteMissing, "site_missing", Error, "The configuration version in force has no overlay for this daemon's site; the daemon keeps its previous configuration."},
	{LibraryMessage, "library_message", Warn, "A library reported a problem, for example a response that belongs to no request."},
}
