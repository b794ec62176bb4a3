package daemon

import (
	"context"
	"net/http"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/control/orders"
	"currantpulley/internal/snapshot"
)

// serveStatus answers with the daemon's status as JSON.
func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.status())
}

// status returns the state of this daemon and what it knows of VMs and upstreams.
func (d *Daemon) status() admin.Status {
	s := admin.Status{
		VM:              d.settings.VM,
		DataCentre:      d.settings.DataCentre,
		Site:            d.settings.Site,
		InProgress:      d.callers.Active(),
		LastContact:     d.control.membership.LastContact(),
		ControlSent:     d.pool.Traffic().Sent() + d.peers.Traffic().Sent(),
		ControlReceived: d.pool.Traffic().Received() + d.peers.Traffic().Received(),
		VMs:             []admin.VMStatus{},
		Upstreams:       []admin.UpstreamStatus{},
	}
	for _, vm := range d.control.membership.View().VMs {
		s.VMs = append(s.VMs, admin.VMStatus{
			Name: vm.Name, DataCentre: vm.DataCentre, Site: vm.Site,
			State: vm.State.String(), Incarnation: vm.Incarnation, PeerAddress: vm.PeerAddress,
		})
	}
	snap := d.holder.Load()
	if snap == nil {
		s.Reason = "no configuration"
		return s
	}
	s.Version, s.Hash, s.Admitting, s.Reason = snap.Version, snap.Hash, snap.Admitting, snap.Reason
	for _, u := range snap.Upstreams {
		s.Upstreams = append(s.Upstreams, upstreamStatus(u))
	}
	s.Orders = d.orderStatus()
	return s
}

// statusTimeout is the longest wait for the control goroutine.
const statusTimeout = time.Second

// orderStatus returns the status of the orders to engines, read on the control
// goroutine; nil if it does not answer in time.
func (d *Daemon) orderStatus() []orders.Status {
	if d.control.orders == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	answer := make(chan []orders.Status, 1)
	if d.loop.Do(ctx, func(time.Time) { answer <- d.control.orders.Status() }) != nil {
		return nil
	}
	return <-answer
}

// upstreamStatus converts an upstream of the snapshot to its status.
func upstreamStatus(u *snapshot.Upstream) admin.UpstreamStatus {
	return admin.UpstreamStatus{
		Name:        u.Name,
		Kind:        string(u.Kind),
		DataCentre:  u.DataCentre,
		Health:      u.Health.String(),
		Leaving:     u.Upstream.Leaving,
		Incarnation: u.Incarnation,
		Weights:     u.Weights,
		Running:     u.Load.Running,
		Queued:      u.Load.Queued,
		LoadAt:      u.Load.At,
	}
}
