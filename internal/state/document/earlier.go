package document

import "encoding/json"

// Versions before HedgeShare was a pointer encoded these fields always, with 0 for a limit
// that no operator had set. The current encoding leaves out the fields that are 0.
var alwaysEncodedBefore = []string{"max_body_bytes", "retry_share", "hedge_share", "claim_hours"}

// DropEarlierZero sets a HedgeShare of 0 to nil if the encoding is one of an earlier version,
// in which 0 selected the default. Such an encoding has all of alwaysEncodedBefore, and
// another one of them that is 0.
func (l *Limits) DropEarlierZero(encoded []byte) {
	var fields map[string]json.RawMessage
	if l.HedgeShare == nil || *l.HedgeShare != 0 || json.Unmarshal(encoded, &fields) != nil {
		return
	}
	for _, name := range alwaysEncodedBefore {
		if _, ok := fields[name]; !ok {
			return
		}
	}
	if l.MaxBodyBytes == 0 || l.RetryShare == 0 || l.ClaimHours == 0 {
		l.HedgeShare = nil
	}
}

// DropEarlierZero applies Limits.DropEarlierZero to the limits of an encoded document.
func (d *Document) DropEarlierZero(encoded []byte) {
	var parts struct {
		Limits json.RawMessage `json:"limits"`
	}
	if json.Unmarshal(encoded, &parts) == nil {
		d.Limits.DropEarlierZero(parts.Limits)
	}
}

func decodeLimits(path string, body []byte) (any, error) {
	value, err := decodeStrict[Limits](path, body)
	if limits, ok := value.(Limits); ok {
		limits.DropEarlierZero(body)
		return limits, err
	}
	return value, err
}
