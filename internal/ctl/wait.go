package ctl

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/control/api"
)

// longPollDuration is how long the API may hold one long poll. Progress is shown after
// each poll.
const longPollDuration = 2 * time.Second

// waitInForce polls until the revision is in force at every node or the client's timeout
// expires. A poll fails over to another member when one does not respond.
func (p *program) waitInForce(ctx context.Context, c *client, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var state api.InForce
	for {
		err := c.do(ctx, request{
			method:     http.MethodGet,
			path:       fmt.Sprintf("/v1/revisions/%d/in-force?wait=%s", revision, longPollDuration),
			serverWait: longPollDuration,
		}, &state)
		switch {
		case err == nil && state.InForce:
			p.printProgress("\n")
			_, _ = fmt.Fprintf(p.Out, "revision %d is in force at %d nodes\n", revision, state.Nodes)
			return nil
		case ctx.Err() != nil:
			p.printProgress("\n")
			return withExitCode(ExitTimeout, errors.Errorf("revision %d was accepted but is not in force at every node: %s", revision, describeLag(state)))
		case err != nil:
			return err
		}
		p.printProgress("\r" + describeLag(state) + "\x1b[K")
		sleep(ctx, retryDelay)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// describeLag returns how many nodes lack the revision, and some of their IDs.
func describeLag(state api.InForce) string {
	text := fmt.Sprintf("%d of %d nodes lag", state.Lagging, state.Nodes)
	if len(state.LaggingNodes) > 0 {
		text += ": " + strings.Join(state.LaggingNodes, ", ")
	}
	if state.Stale {
		text += " (the list of nodes is stale)"
	}
	return text
}

// printProgress writes text unless Progress is nil.
func (p *program) printProgress(text string) {
	if p.Progress != nil {
		_, _ = fmt.Fprint(p.Progress, text)
	}
}
