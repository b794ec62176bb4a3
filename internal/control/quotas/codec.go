package quotas

import (
	"math"
	"time"

	"currantpulley/internal/control/quotas/quotaspb"
	"currantpulley/internal/quota"
)

// scale is the number of parts of a unit in which messages count.
const scale = 1000

// encodeLots returns the messages of lots. Amounts are rounded down and ages up.
func encodeLots(lots []quota.Lot) []*quotaspb.Lot {
	out := make([]*quotaspb.Lot, 0, len(lots))
	for _, l := range lots {
		if amount := uint64(l.Amount * scale); amount > 0 {
			out = append(out, &quotaspb.Lot{AgeMs: milliseconds(l.Age), Amount: amount})
		}
	}
	return out
}

func decodeLots(messages []*quotaspb.Lot) []quota.Lot {
	lots := make([]quota.Lot, 0, len(messages))
	for _, m := range messages {
		lots = append(lots, quota.Lot{Age: time.Duration(m.GetAgeMs()) * time.Millisecond, Amount: float64(m.GetAmount()) / scale})
	}
	return lots
}

// milliseconds returns d rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

// EncodeDeposits returns the messages of deposits.
func EncodeDeposits(deposits []quota.Deposit) []*quotaspb.Deposit {
	out := make([]*quotaspb.Deposit, 0, len(deposits))
	for _, d := range deposits {
		out = append(out, &quotaspb.Deposit{Workspace: uint64(d.Workspace), Lots: encodeLots(d.Lots)})
	}
	return out
}

// DecodeDeposits is the inverse of EncodeDeposits.
func DecodeDeposits(messages []*quotaspb.Deposit) []quota.Deposit {
	out := make([]quota.Deposit, 0, len(messages))
	for _, m := range messages {
		out = append(out, quota.Deposit{Workspace: quota.ID(m.GetWorkspace()), Lots: decodeLots(m.GetLots())})
	}
	return out
}
