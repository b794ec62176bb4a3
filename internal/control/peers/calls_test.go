package peers

import (
	"context"
	"maps"
	"testing"
	"time"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/peer"
)

// tellOnce sends one call to address on a connection whose calls are reported to
// onCall.
func tellOnce(t *testing.T, address string, onCall func(call string, err error)) error {
	t.Helper()
	pool := peer.NewPool(nil, dialOptions(onCall)...)
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err = exchangepb.NewExchangeClient(conn).Tell(ctx, &exchangepb.State{})
	return err
}

type tellServer struct {
	exchangepb.UnimplementedExchangeServer
}

func (tellServer) Tell(context.Context, *exchangepb.State) (*exchangepb.State, error) {
	return &exchangepb.State{}, nil
}

// Each call to another daemon must be reported once, by the name of its service
// and method and with its error, which the caller gets as well.
func TestCallsAreReported(t *testing.T) {
	server, err := peer.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	exchangepb.RegisterExchangeServer(server, tellServer{})
	go func() { _ = server.Run(t.Context()) }()
	for _, tc := range []struct {
		name, address string
		fails         bool
	}{
		{"answered", server.Address(), false},
		{"connection refused", "127.0.0.1:1", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := make(map[string]int)
			var reported error
			err := tellOnce(t, tc.address, func(call string, err error) { got[call]++; reported = err })
			if (err != nil) != tc.fails || (reported != nil) != tc.fails {
				t.Errorf("the caller got %v, reported was %v", err, reported)
			}
			if want := map[string]int{"Exchange/Tell": 1}; !maps.Equal(got, want) {
				t.Errorf("reported %v, want %v", got, want)
			}
		})
	}
}

func TestCallsNeedNoObserver(t *testing.T) {
	if options := dialOptions(nil); len(options) != 0 {
		t.Errorf("%d options without an observer", len(options))
	}
}
