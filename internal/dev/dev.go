// Package dev runs a control member, three nodes and demo upstreams in one
// process on loopback, with the same constructors as the separate programs.
package dev

import (
	"context"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorylever/chicorylever/internal/control"
	"github.com/chicorylever/chicorylever/internal/emulator"
	"github.com/chicorylever/chicorylever/internal/node"
	"github.com/chicorylever/chicorylever/internal/settings"
	"github.com/chicorylever/chicorylever/internal/state/document"
)

const (
	loopback      = "127.0.0.1"
	portsPerNode  = 4
	stopTimeoutMs = 10000
	fileMode      = 0o600
	// leaveTimeout is the total timeout for the demo upstreams to announce at shutdown
	// that they leave.
	leaveTimeout    = 2 * time.Second
	demoSlots       = 10
	demoConnections = 200
	demoServiceTime = 5 * time.Millisecond
)

//go:embed document.json
var demoDocument []byte

var demoZones = []string{"seq-a", "seq-b", "seq-c"}

// demoServices holds the service of the upstream beside each node, in the order of demoZones.
var demoServices = []string{"drafts", "drafts", "approvals"}

// Options are the parameters of Run.
type Options struct {
	// BasePort is the first of 14 consecutive loopback ports that are used.
	BasePort int
	// Output receives the instructions for the user.
	Output io.Writer
	Logger log.Logger
}

// Run runs the control member, the nodes and the upstreams until ctx ends and then stops
// them gracefully.
func Run(ctx context.Context, options Options) error {
	dir, err := os.MkdirTemp("", "chicorylever-dev-")
	if err != nil {
		return errors.Wrap(err, "dev: create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	token, documentPath, err := writeDocument(dir)
	if err != nil {
		return err
	}
	member, err := control.New(controlSettings(options.BasePort, dir, documentPath), options.Logger, control.Options{})
	if err != nil {
		return err
	}
	nodes, upstreams, err := newNodesAndUpstreams(options)
	if err != nil {
		return err
	}
	return serve(ctx, options, member, nodes, upstreams, func() {
		printInstructions(options.Output, options.BasePort, member, token)
	})
}

// serve runs all components until ctx ends or one of them fails. The nodes stop after the
// upstreams have announced that they leave, and the control member stops last. onStarted is
// called once the components have been started in the background.
func serve(ctx context.Context, options Options, member *control.Control, nodes []*node.Node, upstreams []*emulator.Upstream, onStarted func()) error {
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	controlCtx, stopControl := context.WithCancel(groupCtx)
	nodeCtx, stopNodes := context.WithCancel(groupCtx)
	defer stopControl()
	defer stopNodes()

	group.Go(func() error { return member.Run(controlCtx) })
	var nodeGroup errgroup.Group
	for _, n := range nodes {
		nodeGroup.Go(func() error { return n.Run(nodeCtx) })
	}
	group.Go(func() error { defer stopControl(); return nodeGroup.Wait() })
	for _, u := range upstreams {
		group.Go(func() error { return u.Run(nodeCtx) })
	}
	onStarted()
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	leaveAll(upstreams, options.Logger)
	stopNodes()
	return group.Wait()
}

// leaveAll makes the upstreams announce to their nodes that they leave. Failures are only
// logged.
func leaveAll(upstreams []*emulator.Upstream, logger log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for _, u := range upstreams {
		if err := u.Leave(ctx); err != nil {
			_ = logger.Log("msg", "demo upstream could not announce to its node that it leaves", "err", err)
		}
	}
}

// writeDocument writes the demo document and a new token of its admin team to dir. It
// returns the token and the path of the document.
func writeDocument(dir string) (token, path string, err error) {
	doc := &document.Document{}
	if err := json.Unmarshal(demoDocument, doc); err != nil {
		return "", "", errors.Wrap(err, "dev: decode the demo document")
	}
	token = uuid.NewString()
	digest := sha256.Sum256([]byte(token))
	team := doc.Teams["platform"]
	team.TokenSHA256 = []string{hex.EncodeToString(digest[:])}
	doc.Teams["platform"] = team
	data, err := json.Marshal(doc)
	if err != nil {
		return "", "", errors.Wrap(err, "dev: encode the demo document")
	}
	path = filepath.Join(dir, "document.json")
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return "", "", errors.Wrap(err, "dev: write the demo document")
	}
	return token, path, errors.Wrap(os.WriteFile(filepath.Join(dir, "token"), []byte(token), fileMode), "dev: write the token file")
}

func controlSettings(basePort int, dir, documentPath string) *settings.Control {
	meshAddress := address(basePort)
	return &settings.Control{
		ID: "control-1", Zone: demoZones[0], DataDir: filepath.Join(dir, "control-1"),
		MeshListen: meshAddress, MeshAddress: meshAddress, APIListen: address(basePort + 1),
		Bootstrap: []string{meshAddress}, BootstrapDocument: documentPath, LogLevel: "info",
	}
}

// newNodesAndUpstreams returns one node per demo zone and the upstream beside each.
func newNodesAndUpstreams(options Options) ([]*node.Node, []*emulator.Upstream, error) {
	var nodes []*node.Node
	var upstreams []*emulator.Upstream
	for i, zone := range demoZones {
		n, err := node.New(nodeSettings(options.BasePort, i, zone), options.Logger, node.Options{})
		if err != nil {
			return nil, nil, err
		}
		instance := demoServices[i] + "-" + strconv.Itoa(i+1)
		u, err := emulator.New(emulator.Options{
			Service: demoServices[i], Instance: instance, Node: n.LocalAddress(),
			Slots: demoSlots, Connections: demoConnections, Handler: demoHandler(instance),
		})
		if err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, n)
		upstreams = append(upstreams, u)
	}
	return nodes, upstreams, nil
}

// demoHandler returns a handler that responds after demoServiceTime and names the instance.
func demoHandler(instance string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(demoServiceTime):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprintf(w, "%s %s served by %s\n", r.Method, r.URL.Path, instance)
	})
}

func nodeSettings(basePort, index int, zone string) *settings.Node {
	firstPort := basePort + 2 + index*portsPerNode
	meshAddress := address(firstPort + 2)
	return &settings.Node{
		ID: "node-" + strconv.Itoa(index+1), Zone: zone,
		EntryListen: address(firstPort), LocalListen: address(firstPort + 1),
		MeshListen: meshAddress, MeshAddress: meshAddress, AdminListen: address(firstPort + 3),
		Control: []string{address(basePort)}, LogLevel: "info", StopTimeoutMs: stopTimeoutMs,
	}
}

func address(port int) string {
	return net.JoinHostPort(loopback, strconv.Itoa(port))
}

func printInstructions(w io.Writer, basePort int, member *control.Control, token string) {
	_, _ = fmt.Fprintf(w, `Running one control member and three nodes on loopback. Stop with Ctrl-C.

A request through the first node (any node serves every service):
  curl -i http://%s/svc/drafts/hello

Operators' API (token of the admin team):
  curl -H 'Authorization: Bearer %s' http://%s/v1/document
`, address(basePort+2), token, member.APIAddress())
}
