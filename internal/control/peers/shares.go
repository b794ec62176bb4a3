package peers

import (
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/fairness"
	"currantpulley/internal/freshness"
)

// Shares returns the work in progress of all daemons by workspace.
func (p *Peers) Shares() *fairness.Table { return p.shares }

// roomOf returns the tokens that all engines of a service have room for; 0: not known.
func (p *Peers) roomOf(service uint32) float64 {
	snap := p.opts.Watcher.Load()
	if snap.Config == nil {
		return 0
	}
	for name, s := range snap.Config.Services {
		if s.Engine != nil && fairness.ServiceID(name) == service {
			return float64(s.Engine.CacheTokens) * float64(len(snap.UpstreamsOf(name)))
		}
	}
	return 0
}

// onWorkspaceUses applies another daemon's work in progress by workspace.
func (p *Peers) onWorkspaceUses(vm string, uses []fairness.Use, lifetime time.Duration) {
	now := freshness.Time()
	if !p.shares.SetPeer(vm, uses, now, now.Add(lifetime)) {
		p.opts.Recorder.Record(event.Event{ID: event.WorkspaceUseIgnored, Step: "exchange", Peer: vm, Detail: "more work than all engines of a service could have waiting"})
	}
}
