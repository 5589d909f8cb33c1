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

// pollWait is the time of one long poll; progress is shown after each.
const pollWait = 2 * time.Second

// waitInForce polls until the revision is in force at every node. Members that do
// not answer are passed over until the timeout.
func (p *program) waitInForce(ctx context.Context, c *client, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var latest api.InForce
	for {
		err := c.do(ctx, request{
			method: http.MethodGet,
			path:   fmt.Sprintf("/v1/revisions/%d/in-force?wait=%s", revision, pollWait),
			wait:   pollWait,
		}, &latest)
		switch {
		case err == nil && latest.InForce:
			p.progress("\n")
			_, _ = fmt.Fprintf(p.Out, "revision %d is in force at %d nodes\n", revision, latest.Nodes)
			return nil
		case ctx.Err() != nil:
			p.progress("\n")
			return fail(ExitTimeout, errors.Errorf("revision %d is accepted but not in force everywhere: %s", revision, describe(latest)))
		case err != nil:
			return err
		}
		p.progress("\r" + describe(latest) + "\x1b[K")
		sleep(ctx, roundPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func describe(state api.InForce) string {
	text := fmt.Sprintf("%d of %d nodes lag", state.Lagging, state.Nodes)
	if len(state.LaggingNodes) > 0 {
		text += ": " + strings.Join(state.LaggingNodes, ", ")
	}
	if state.Stale {
		text += " (the list of nodes is stale)"
	}
	return text
}

func (p *program) progress(text string) {
	if p.Progress != nil {
		_, _ = fmt.Fprint(p.Progress, text)
	}
}
