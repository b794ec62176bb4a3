package main

import (
	"context"
	"maps"
	"strings"
	"sync"

	"google.golang.org/grpc/stats"
)

// callStats is a gRPC stats handler of one daemon. It counts the calls that the
// daemon made and, by method, the bytes of messages and headers that it received.
type callStats struct {
	mu      sync.Mutex
	calls   uint64
	methods map[string]uint64
}

// methodKey is the context key of the method name.
type methodKey struct{}

func newCallStats() *callStats { return &callStats{methods: make(map[string]uint64)} }

// read returns a copy of the counters.
func (c *callStats) read() (calls uint64, methods map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, maps.Clone(c.methods)
}

// TagRPC implements stats.Handler. It stores the method name for HandleRPC.
func (c *callStats) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, strings.TrimPrefix(info.FullMethodName, "/currantpulley."))
}

// HandleRPC implements stats.Handler.
func (c *callStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	bytes := 0
	switch s := s.(type) {
	case *stats.InPayload:
		bytes = s.WireLength
	case *stats.InHeader:
		bytes = s.WireLength
	case *stats.InTrailer:
		bytes = s.WireLength
	}
	method, _ := ctx.Value(methodKey{}).(string)
	c.mu.Lock()
	defer c.mu.Unlock()
	if begin, ok := s.(*stats.Begin); ok && begin.IsClient() {
		c.calls++
	}
	if bytes > 0 {
		c.methods[method] += uint64(bytes)
	}
}

// TagConn implements stats.Handler.
func (c *callStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (c *callStats) HandleConn(context.Context, stats.ConnStats) {}
