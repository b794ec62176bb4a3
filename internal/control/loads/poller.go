package loads

import (
	"context"

	"currantpulley/internal/config"
	"currantpulley/internal/snapshot"
	"currantpulley/internal/upstream"
)

// EnginePoller polls engines through their protocol adapter.
type EnginePoller struct{ Engine upstream.Engine }

// Poll implements Poller.
func (p EnginePoller) Poll(ctx context.Context, u *config.Upstream) (Report, error) {
	s, err := p.Engine.State(ctx, u.Address)
	if err != nil {
		return Report{}, err
	}
	return Report{
		Incarnation: s.Incarnation,
		Weights:     s.Weights,
		Loading:     s.Loading,
		Load: snapshot.Load{
			Running:        s.Load.Running,
			Queued:         s.Load.Queued,
			QueuedTokens:   s.Load.QueuedTokens,
			CachedPieces:   s.Load.CachedPieces,
			CapacityPieces: s.Load.CapacityPieces,
		},
	}, nil
}
