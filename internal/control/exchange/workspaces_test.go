package exchange

import (
	"reflect"
	"testing"
	"time"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/fairness"
)

// States carry the work by workspace, and one without any, as of an older build, clears it.
func TestStatesCarryWorkByWorkspace(t *testing.T) {
	var uses []Use
	var notices []Notice
	from, to := testExchange(&uses, &notices), testExchange(&uses, &notices)
	sent := []fairness.Use{{Flow: fairness.Flow{Service: 1 << 31, Workspace: 2}, Tokens: 9190}}
	from.opts.Self = "from"
	from.opts.WorkspaceUses = func() []fairness.Use { return sent }
	var got []fairness.Use
	to.opts.OnWorkspaceUses = func(_ string, u []fairness.Use, _ time.Duration) { got = u }
	to.applyState(from.state(time.Now()))
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("received %+v, sent %+v", got, sent)
	}
	to.applyState(&exchangepb.State{Vm: "from", Incarnation: from.incarnation, Sequence: 2})
	if len(got) != 0 {
		t.Errorf("received %+v, sent nothing", got)
	}
}
