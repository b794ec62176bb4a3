package main

import (
	"context"
	"sync"
	"time"

	"currantpulley/bench/soak/site"
	"currantpulley/platform/standin/names"
)

// operator writes the operators' configuration to the store.
type operator struct {
	writer *names.StoreWriter

	mu      sync.Mutex
	version int
}

func newOperator(store string) *operator {
	return &operator{writer: names.NewStoreWriter(store)}
}

// change writes a newer version of the configuration.
func (o *operator) change(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	return o.put(ctx)
}

// repeat writes the newest version again.
func (o *operator) repeat(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.put(ctx)
}

// put writes the present version until the store accepts it. o.mu is held.
func (o *operator) put(ctx context.Context) error {
	for {
		err := o.writer.PutConfig(ctx, site.Config(o.version))
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(storePoll)
	}
}
