package quota

import "github.com/chicorylever/chicorylever/internal/protocol/wire"

// use is a set of totals of one organisation.
type use struct{ offered, admitted, returned uint64 }

func useFromWire(u *wire.QuotaUse) use {
	return use{u.GetOffered(), u.GetAdmitted(), u.GetReturned()}
}

func (u use) minus(o use) use {
	return use{u.offered - o.offered, u.admitted - o.admitted, u.returned - o.returned}
}

func (u use) plus(o use) use {
	return use{u.offered + o.offered, u.admitted + o.admitted, u.returned + o.returned}
}

// below reports whether a total is lower than in o, which means that the totals started
// again.
func (u use) below(o use) bool {
	return u.offered < o.offered || u.admitted < o.admitted || u.returned < o.returned
}

// account holds the totals of one organisation at a sender: those now, those in the report
// that is under way, and those that the receiver has acknowledged.
type account struct{ total, sent, acknowledged use }

// report returns the totals if they differ from the acknowledged ones, else nil.
func (a *account) report(organisation string) *wire.QuotaUse {
	if a.total == a.acknowledged {
		return nil
	}
	a.sent = a.total
	return &wire.QuotaUse{
		Organisation: organisation,
		Offered:      a.total.offered,
		Admitted:     a.total.admitted,
		Returned:     a.total.returned,
	}
}

func (a *account) acknowledge() {
	if a.sent != (use{}) {
		a.acknowledged, a.sent = a.sent, use{}
	}
}
