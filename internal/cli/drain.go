package cli

import (
	"context"
	"net/http"

	"currantpulley/internal/admin"
)

// drainReport is the JSON output of drain.
type drainReport struct {
	Draining bool `json:"draining"`
}

func addDrain(a *App) {
	var daemon adminClient
	cmd := a.command("drain", "Drain one daemon: it finishes its requests and stops.", func(ctx context.Context) error {
		if err := daemon.call(ctx, http.MethodPost, admin.PathDrain, nil, nil); err != nil {
			return err
		}
		return a.printResult(drainReport{true}, "the daemon is draining; it stops once its requests are finished")
	})
	addAdminFlag(cmd, &daemon)
}
