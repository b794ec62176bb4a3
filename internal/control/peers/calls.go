package peers

import (
	"context"
	"strings"

	"google.golang.org/grpc"
)

// dialOptions returns the options of connections to other daemons. Each call on
// them is reported to onCall when it ends; nil: to nobody.
func dialOptions(onCall func(call string, err error)) []grpc.DialOption {
	if onCall == nil {
		return nil
	}
	report := func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		err := invoke(ctx, method, req, reply, cc, opts...)
		onCall(method[strings.LastIndexByte(method, '.')+1:], err)
		return err
	}
	return []grpc.DialOption{grpc.WithUnaryInterceptor(report)}
}
