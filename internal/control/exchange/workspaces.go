package exchange

import (
	"time"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/fairness"
)

// workspaceUses returns this daemon's work in progress by workspace.
func (e *Exchange) workspaceUses() []*exchangepb.WorkspaceUse {
	if e.opts.WorkspaceUses == nil {
		return nil
	}
	var out []*exchangepb.WorkspaceUse
	for _, u := range e.opts.WorkspaceUses() {
		out = append(out, &exchangepb.WorkspaceUse{Service: u.Service, Workspace: u.Workspace, Tokens: u.Tokens})
	}
	return out
}

// applyWorkspaceUses applies the work in progress by workspace in another daemon's state.
func (e *Exchange) applyWorkspaceUses(vm string, messages []*exchangepb.WorkspaceUse, lifetime time.Duration) {
	if e.opts.OnWorkspaceUses == nil {
		return
	}
	uses := make([]fairness.Use, 0, len(messages))
	for _, u := range messages {
		flow := fairness.Flow{Service: u.GetService(), Workspace: u.GetWorkspace()}
		uses = append(uses, fairness.Use{Flow: flow, Tokens: u.GetTokens()})
	}
	e.opts.OnWorkspaceUses(vm, uses, lifetime)
}
