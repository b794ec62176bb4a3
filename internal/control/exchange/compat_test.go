package exchange

import (
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/quarantine"
	"currantpulley/internal/ratelimit"
)

// recordedState is a state with every field set, as the landed build wrote it; see
// package peer's tests.
const recordedState = "../../peer/testdata/messages/currantpulley.exchange.State.binpb"

// During an upgrade a state comes from the build before: all that it says must be
// applied, and one that lacks everything a newer build may say must do no harm.
func TestStateOfTheLandedBuildIsApplied(t *testing.T) {
	raw, err := os.ReadFile(recordedState)
	if err != nil {
		t.Fatal(err)
	}
	s := &exchangepb.State{}
	if err := proto.Unmarshal(raw, s); err != nil {
		t.Fatal(err)
	}
	var applied []Use
	var notices []Notice
	var suspects []quarantine.Suspect
	var limits []ratelimit.Statement
	announcements, cutOff := 0, false
	e := testExchange(&applied, &notices)
	e.opts.OnAnnouncement = func(Announcement) { announcements++ }
	e.opts.OnCutOff = func(_ string, cut bool, _ time.Duration) { cutOff = cut }
	e.applyState(s)
	for _, n := range notices {
		if n.Suspect != nil {
			suspects = append(suspects, *n.Suspect)
		}
		if n.Limit != nil {
			limits = append(limits, *n.Limit)
		}
	}
	if len(applied) != 1 || applied[0].Upstream != 2 || applied[0].Requests != 3 || !applied[0].Failing {
		t.Errorf("work %+v", applied)
	}
	if announcements != 1 || !cutOff || len(suspects) == 0 || len(limits) == 0 {
		t.Errorf("%d announcements, cut off %t, suspects %v, limits %v", announcements, cutOff, suspects, limits)
	}
	if p := s.GetProof(); p.GetPosition() != 2 || p.GetAgeMs() != 3 {
		t.Errorf("proof %v", p)
	}
	e.applyState(&exchangepb.State{Vm: s.GetVm(), Incarnation: s.GetIncarnation(), Sequence: s.GetSequence() + 1})
	if len(applied) != 0 {
		t.Errorf("work after an empty state: %+v", applied)
	}
}
