package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantpulley/internal/admin"
)

func addStatus(a *App) {
	var d adminClient
	cmd := a.command("status", "Show the configuration of one daemon and its view of the fleet; exit code 1 if it admits no requests.", func(ctx context.Context) error {
		var s admin.Status
		if err := d.call(ctx, http.MethodGet, admin.PathStatus, nil, &s); err != nil {
			return err
		}
		if err := a.printResult(s, statusText(s, time.Now())); err != nil {
			return err
		}
		if !s.Admitting {
			return refused(errors.New("the daemon admits no requests: " + s.Reason))
		}
		return nil
	})
	addAdminFlag(cmd, &d)
}

func statusText(s admin.Status, now time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s in %s, site %s\n", s.VM, s.DataCentre, s.Site)
	fmt.Fprintf(&b, "configuration version %d, content hash %.12s\n", s.Version, s.Hash)
	fmt.Fprintf(&b, "admitting %t %s\n", s.Admitting, s.Reason)
	fmt.Fprintf(&b, "requests in progress %d\n", s.InProgress)
	fmt.Fprintf(&b, "last contact with a peer %s\n", ago(now, s.LastContact))
	fmt.Fprintf(&b, "\n%-20s %-8s %-12s %s\n", "VM", "STATE", "DATA CENTRE", "SITE")
	for _, vm := range s.VMs {
		fmt.Fprintf(&b, "%-20s %-8s %-12s %s\n", vm.Name, vm.State, vm.DataCentre, vm.Site)
	}
	fmt.Fprintf(&b, "\n%-20s %-8s %7s %7s  %s\n", "UPSTREAM", "HEALTH", "RUNNING", "QUEUED", "REPORT")
	for _, u := range s.Upstreams {
		fmt.Fprintf(&b, "%-20s %-8s %7d %7d  %s\n", u.Name, u.Health, u.Running, u.Queued, ago(now, u.LoadAt))
	}
	if len(s.Orders) > 0 {
		fmt.Fprintf(&b, "\n%-20s %-12s %-12s %s\n", "ORDERS TO", "GROUP", "PHASE", "REASON")
	}
	for _, o := range s.Orders {
		fmt.Fprintf(&b, "%-20s %-12s %-12s %s\n", o.Upstream, o.Group, o.Phase, o.Reason)
	}
	return strings.TrimRight(b.String(), "\n")
}

// ago formats the time from t to now.
func ago(now, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return now.Sub(t).Round(100*time.Millisecond).String() + " ago"
}
