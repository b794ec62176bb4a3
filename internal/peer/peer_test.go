package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// answer is the handler of the test service. The request is the number of bytes
// to answer with; if it is negative, the handler never answers.
func answer(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
	var n wrapperspb.Int32Value
	if err := decode(&n); err != nil {
		return nil, err
	}
	if n.Value < 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return wrapperspb.Bytes(make([]byte, n.Value)), nil
}

var service = grpc.ServiceDesc{ServiceName: "test.Echo", HandlerType: (*any)(nil),
	Methods: []grpc.MethodDesc{{MethodName: "Answer", Handler: answer}}}

// listenRaw passes each accepted connection to serve and returns the address.
func listenRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func TestPeerFaults(t *testing.T) {
	s, err := Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	s.RegisterService(&service, nil)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.Run(ctx)
	closed := listenRaw(t, func(c net.Conn) { c.Close() })
	garbage := listenRaw(t, func(c net.Conn) { c.Write([]byte("HTTP/1.1 200 OK\r\n\r\nno peer")); c.Close() })
	silent := listenRaw(t, func(net.Conn) {})
	for name, c := range map[string]struct {
		address, method string
		size            int32
		code            codes.Code
	}{
		"healthy":              {s.Address(), "/test.Echo/Answer", 10, codes.OK},
		"slow":                 {s.Address(), "/test.Echo/Answer", -1, codes.DeadlineExceeded},
		"oversized answer":     {s.Address(), "/test.Echo/Answer", maxMessageBytes + 1, codes.ResourceExhausted},
		"unknown method":       {s.Address(), "/test.Echo/Other", 1, codes.Unimplemented},
		"reset":                {closed, "/test.Echo/Answer", 1, codes.Unavailable},
		"malformed":            {garbage, "/test.Echo/Answer", 1, codes.Unavailable},
		"accepts, never sends": {silent, "/test.Echo/Answer", 1, codes.Unavailable},
		"connection refused":   {"127.0.0.1:1", "/test.Echo/Answer", 1, codes.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(nil)
			defer pool.Close()
			conn, err := pool.Conn(c.address)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var out wrapperspb.BytesValue
			err = conn.Invoke(ctx, c.method, wrapperspb.Int32(c.size), &out)
			if got := status.Code(err); got != c.code {
				t.Fatalf("%v, want %v: %v", got, c.code, err)
			}
			if c.code == codes.OK && len(out.Value) != int(c.size) {
				t.Fatalf("%d bytes, want %d", len(out.Value), c.size)
			}
		})
	}
}
