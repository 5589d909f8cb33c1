package memlimit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testLimits = Limits{Total: 1000, Reserve: 200, Small: 50, Address: 600, Connections: 8, StallAfter: time.Second, MinVictim: 1}

// FuzzLedger guards against a count that differs from what the accounts hold, that exceeds the
// total without an account being closed for it, or that isn't zero once all have ended.
func FuzzLedger(f *testing.F) {
	f.Add([]byte{0, 10, 1, 200, 1, 255, 2, 9, 0, 40, 3, 0, 4, 0})
	f.Add([]byte{0, 255, 0, 255, 0, 255, 0, 255, 0, 255, 5, 100, 0, 255})
	f.Fuzz(func(t *testing.T, operations []byte) {
		l := NewLedger(testLimits)
		now := time.Unix(0, 0)
		var accounts []*Account
		model := map[*Account]int64{}
		var replaced int64
		for i := 0; i+1 < len(operations); i += 2 {
			operation, amount := operations[i]%6, int64(operations[i+1])
			if len(accounts) == 0 {
				operation = 0
			}
			var a *Account
			if len(accounts) > 0 {
				a = accounts[int(operations[i]/6)%len(accounts)]
			}
			switch operation {
			case 0:
				before := l.Counts().Closed
				opened, err := l.Open(now, fmt.Sprint(amount%3), amount, func() {})
				if err != nil {
					break
				}
				if l.Counts().Closed > before {
					replaced += amount
				}
				accounts, model[opened] = append(accounts, opened), amount
			case 1:
				if a.Acquire(now, amount) == nil {
					model[a] += amount
					assert.Assert(t, l.Counts().Held <= testLimits.Total+replaced)
				}
			case 2:
				a.Release(amount)
				model[a] -= min(amount, model[a])
			case 3:
				a.Close()
				a.Close()
				delete(model, a)
				accounts = remove(accounts, a)
			case 4:
				a.Moved(now, int(amount)*8)
			case 5:
				now = now.Add(time.Duration(amount) * 20 * time.Millisecond)
			}
			var sum int64
			for a, held := range model {
				assert.Equal(t, a.Held(), held)
				sum += held
			}
			assert.Equal(t, l.Counts().Held, sum)
		}
		for _, a := range accounts {
			a.Close()
		}
		assert.Equal(t, l.Counts().Held, int64(0))
		assert.Equal(t, len(l.byAddress), 0)
		assert.Equal(t, l.closing, int64(0))
		assert.Equal(t, l.closingCount, 0)
	})
}

func remove(accounts []*Account, a *Account) []*Account {
	var rest []*Account
	for _, other := range accounts {
		if other != a {
			rest = append(rest, other)
		}
	}
	return rest
}

// TestLargestStalledFirst guards against closing a client that makes progress, or a smaller one,
// while a larger one is stalled, and against a small request that finds no room.
func TestLargestStalledFirst(t *testing.T) {
	l, now := NewLedger(testLimits), time.Unix(0, 0)
	closed := ""
	open := func(name string, bytes int64) *Account {
		a, err := l.Open(now, name, bytes, func() { closed += name })
		assert.NilError(t, err)
		return a
	}
	a, b, c := open("a", 300), open("b", 200), open("c", 290)
	now = now.Add(2 * time.Second)
	a.Moved(now, progressBytes)
	var refused *RefusedError
	assert.Assert(t, errors.As(b.Acquire(now, 100), &refused))
	assert.Equal(t, refused.Scope, ScopeTotal)
	assert.Equal(t, closed, "c")
	small := open("d", 40)
	assert.NilError(t, small.Acquire(now, 10))
	assert.Assert(t, b.Acquire(now, 100) != nil)
	assert.Equal(t, closed, "c", "nothing more is closed while the bytes of c are about to be released")
	c.Close()
	assert.NilError(t, b.Acquire(now, 100))
	assert.Assert(t, errors.As(b.Acquire(now, 400), &refused))
	assert.Equal(t, refused.Scope, ScopeAddress)
}

// TestWaitingClientStays guards against closing a client that waits for this process.
func TestWaitingClientStays(t *testing.T) {
	l, now := NewLedger(testLimits), time.Unix(0, 0)
	a, err := l.Open(now, "a", 600, func() { t.Error("closed") })
	assert.NilError(t, err)
	a.BeginWait()
	b, err := l.Open(now, "b", 200, func() {})
	assert.NilError(t, err)
	assert.Assert(t, b.Acquire(now.Add(time.Minute), 100) != nil)
}

// FuzzHeadBytes guards against a cost of a head that is below the memory of its parsed fields.
func FuzzHeadBytes(f *testing.F) {
	f.Add(uint16(3200), uint8(3), uint8(0))
	f.Add(uint16(20), uint8(12), uint8(100))
	f.Fuzz(func(t *testing.T, count uint16, nameBytes, valueBytes uint8) {
		fields, name := int(count%4000), max(int(nameBytes%32), 3)
		var head bytes.Buffer
		head.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
		for i := range fields {
			fmt.Fprintf(&head, "%0*x:%s\n", name, i, bytes.Repeat([]byte("v"), int(valueBytes)))
		}
		head.WriteString("\r\n")
		size, lines := head.Len(), fields+3
		parsed := make([]*http.Request, 32)
		readers := make([]*bufio.Reader, len(parsed))
		for i := range readers {
			readers[i] = bufio.NewReader(bytes.NewReader(head.Bytes()))
		}
		before := heapBytes()
		for i := range parsed {
			parsed[i], _ = http.ReadRequest(readers[i])
		}
		held := (heapBytes() - before) / int64(len(parsed))
		runtime.KeepAlive(parsed)
		runtime.KeepAlive(readers)
		assert.Assert(t, held <= HeadBytes(size, lines), "%d bytes held, %d counted", held, HeadBytes(size, lines))
	})
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestPlans guards against parts of the memory that together leave less than 30 % for the rest of the
// process, parts of the descriptors that leave less than a fifth for the connections that it dials, and a
// reserve without room for some ordinary requests.
func TestPlans(t *testing.T) {
	node, control := PlanNode(184<<20, 4100), PlanControl(280<<20, 4100)
	for _, plan := range []struct {
		memory int64
		parts  []Limits
	}{{184 << 20, []Limits{node.Callers, node.Local, node.Admin, node.Mesh}}, {280 << 20, []Limits{control.API, control.Mesh}}} {
		var memory int64
		descriptors := 0
		for _, part := range plan.parts {
			memory += part.Total
			descriptors += part.Connections
		}
		assert.Assert(t, memory < plan.memory*70/100)
		assert.Assert(t, descriptors <= 4100*80/100)
	}
	assert.Assert(t, node.Callers.Reserve/node.Callers.Small >= 50)
	assert.Assert(t, node.Callers.Address < node.Callers.Total-node.Callers.Reserve)
	assert.Assert(t, node.Callers.Connections >= 2000)
}
