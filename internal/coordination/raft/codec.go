package raft

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
)

const (
	codecVersion = 1

	flagReject   = 1 << 0
	flagTransfer = 1 << 1
	flagSnapshot = 1 << 2
	knownFlags   = flagReject | flagTransfer | flagSnapshot
	// minEntryBytes is the size of the smallest encoded entry, one without data. It limits
	// the number of entries that a message of a given length can hold.
	minEntryBytes = 4
	// minMemberBytes is the size of the smallest encoded member, one without an address.
	minMemberBytes = 3
)

// AppendEntry appends the encoding of the entry to b.
func AppendEntry(b []byte, e Entry) []byte {
	b = binary.AppendUvarint(b, e.Index)
	b = binary.AppendUvarint(b, e.Term)
	b = append(b, byte(e.Kind))
	return appendBytes(b, e.Data)
}

// AppendSnapshotMeta appends the encoding of the snapshot's metadata to b.
func AppendSnapshotMeta(b []byte, m SnapshotMeta) []byte {
	b = binary.AppendUvarint(b, m.Index)
	b = binary.AppendUvarint(b, m.Term)
	return appendConfiguration(b, m.Configuration)
}

// EncodeConfiguration returns the configuration encoded as the data of an EntryConfig.
func EncodeConfiguration(c Configuration) []byte {
	return appendConfiguration(nil, c)
}

// EncodeMessage returns the encoding of the message.
func EncodeMessage(m Message) []byte {
	b := []byte{codecVersion, byte(m.Kind), m.flags()}
	for _, v := range m.uvarintFields() {
		b = binary.AppendUvarint(b, *v)
	}
	b = binary.AppendUvarint(b, uint64(len(m.Entries)))
	for _, e := range m.Entries {
		b = AppendEntry(b, e)
	}
	if m.Snapshot != nil {
		b = AppendSnapshotMeta(b, m.Snapshot.Meta)
		b = appendBytes(b, m.Snapshot.Data)
	}
	return b
}

// uvarintFields returns the numeric fields in the order of their encoding.
func (m *Message) uvarintFields() []*uint64 {
	return []*uint64{&m.From, &m.To, &m.Term, &m.Index, &m.LogTerm, &m.Commit, &m.HintIndex, &m.HintTerm, &m.ReadRound}
}

func (m *Message) flags() byte {
	var flags byte
	if m.Reject {
		flags |= flagReject
	}
	if m.Transfer {
		flags |= flagTransfer
	}
	if m.Snapshot != nil {
		flags |= flagSnapshot
	}
	return flags
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

func appendConfiguration(b []byte, c Configuration) []byte {
	b = binary.AppendUvarint(b, uint64(len(c.Members)))
	for _, m := range c.Members {
		b = binary.AppendUvarint(b, m.ID)
		learner := byte(0)
		if m.Learner {
			learner = 1
		}
		b = append(b, learner)
		b = appendBytes(b, []byte(m.Address))
	}
	return b
}

// DecodeMessage decodes a message. It returns ErrMalformed unless b is exactly the
// encoding that EncodeMessage returns for the message.
func DecodeMessage(b []byte) (Message, error) {
	d := &Decoder{b: b}
	var m Message
	if d.byte() != codecVersion {
		d.fail()
	}
	m.Kind = MessageKind(d.byte())
	if m.Kind == 0 || m.Kind > lastMessageKind {
		d.fail()
	}
	flags := d.byte()
	if flags&^knownFlags != 0 {
		d.fail()
	}
	m.Reject = flags&flagReject != 0
	m.Transfer = flags&flagTransfer != 0
	for _, v := range m.uvarintFields() {
		*v = d.Uvarint()
	}
	m.Entries = d.entries()
	hasSnapshot := flags&flagSnapshot != 0
	if hasSnapshot != (m.Kind == MsgSnapshot) {
		d.fail()
	}
	if hasSnapshot {
		m.Snapshot = &Snapshot{Meta: d.SnapshotMeta(), Data: d.Bytes()}
	}
	if err := d.Finish(); err != nil {
		return Message{}, err
	}
	return m, nil
}

// DecodeConfiguration decodes the data of an EntryConfig or returns ErrMalformed.
func DecodeConfiguration(b []byte) (Configuration, error) {
	d := &Decoder{b: b}
	c := d.configuration()
	return c, d.Finish()
}

// Decoder reads the encodings of this package from a byte slice. After the first malformed
// value every read returns a zero value, and Finish returns ErrMalformed. Returned byte
// slices refer to the input.
type Decoder struct {
	b      []byte
	failed bool
}

// NewDecoder returns a decoder that reads b.
func NewDecoder(b []byte) *Decoder {
	return &Decoder{b: b}
}

// Finish returns ErrMalformed if a value was malformed or bytes remain unread.
func (d *Decoder) Finish() error {
	if d.failed || len(d.b) > 0 {
		return errors.WithStack(ErrMalformed)
	}
	return nil
}

// More reports whether bytes remain to be read and no value was malformed.
func (d *Decoder) More() bool {
	return !d.failed && len(d.b) > 0
}

// Uvarint reads an unsigned varint; an encoding that is not the shortest one is malformed.
func (d *Decoder) Uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || (n > 1 && d.b[n-1] == 0) {
		d.fail()
		return 0
	}
	d.b = d.b[n:]
	return v
}

// Bytes reads a length and that number of bytes. It returns nil for length 0.
func (d *Decoder) Bytes() []byte {
	n := d.Uvarint()
	if n > uint64(len(d.b)) {
		d.fail()
		return nil
	}
	if n == 0 {
		return nil
	}
	data := d.b[:n:n]
	d.b = d.b[n:]
	return data
}

// Rest reads all remaining bytes.
func (d *Decoder) Rest() []byte {
	rest := d.b
	d.b = nil
	return rest
}

// Entry reads an entry.
func (d *Decoder) Entry() Entry {
	e := Entry{Index: d.Uvarint(), Term: d.Uvarint(), Kind: EntryKind(d.byte()), Data: d.Bytes()}
	if e.Kind < EntryCommand || e.Kind > EntryConfig || e.Index == 0 || e.Term == 0 {
		d.fail()
	}
	return e
}

// SnapshotMeta reads the metadata of a snapshot.
func (d *Decoder) SnapshotMeta() SnapshotMeta {
	return SnapshotMeta{Index: d.Uvarint(), Term: d.Uvarint(), Configuration: d.configuration()}
}

func (d *Decoder) entries() []Entry {
	n := d.count(minEntryBytes)
	if n == 0 {
		return nil
	}
	entries := make([]Entry, 0, n)
	for range n {
		e := d.Entry()
		if len(entries) > 0 && e.Index != entries[len(entries)-1].Index+1 {
			d.fail()
		}
		entries = append(entries, e)
	}
	return entries
}

func (d *Decoder) configuration() Configuration {
	n := d.count(minMemberBytes)
	c := Configuration{}
	for range n {
		m := Member{ID: d.Uvarint()}
		learner := d.byte()
		if learner > 1 {
			d.fail()
		}
		m.Learner = learner == 1
		m.Address = string(d.Bytes())
		if m.ID == 0 || (len(c.Members) > 0 && m.ID <= c.Members[len(c.Members)-1].ID) {
			d.fail()
		}
		c.Members = append(c.Members, m)
	}
	return c
}

// count reads the number of items that follow, each of which has at least minItemBytes.
func (d *Decoder) count(minItemBytes uint64) int {
	n := d.Uvarint()
	if n > uint64(len(d.b))/minItemBytes || n > math.MaxInt32 {
		d.fail()
		return 0
	}
	return int(n)
}

func (d *Decoder) byte() byte {
	if len(d.b) == 0 {
		d.fail()
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

func (d *Decoder) fail() {
	d.failed = true
	d.b = nil
}
