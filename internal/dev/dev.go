// Package dev runs a control member, three nodes and demo upstreams in one
// process on loopback, with the constructors of the real programs.
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
	// leaveTimeout bounds the announcements of leaving demo upstreams at a stop.
	leaveTimeout    = 2 * time.Second
	demoSlots       = 10
	demoConnections = 200
	demoWork        = 5 * time.Millisecond
)

//go:embed document.json
var demoDocument []byte

var demoZones = []string{"seq-a", "seq-b", "seq-c"}

// demoServices has one instance beside each node, in the order of demoZones.
var demoServices = []string{"drafts", "drafts", "approvals"}

// Options of a development run.
type Options struct {
	// BasePort is the first of the 14 loopback ports in use.
	BasePort int
	// Output takes the instructions for the user.
	Output io.Writer
	Logger log.Logger
}

// Run serves until ctx ends and then stops gracefully.
func Run(ctx context.Context, options Options) error {
	dir, err := os.MkdirTemp("", "chicorylever-dev-")
	if err != nil {
		return errors.Wrap(err, "dev: temporary folder")
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
	nodes, upstreams, err := newNodes(options)
	if err != nil {
		return err
	}
	return serve(ctx, options, member, nodes, upstreams, func() {
		printInstructions(options.Output, options.BasePort, member, token)
	})
}

// serve runs everything; the nodes stop after the upstreams have left, control last.
func serve(ctx context.Context, options Options, member *control.Control, nodes []*node.Node, upstreams []*emulator.Upstream, ready func()) error {
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	controlCtx, stopControl := context.WithCancel(groupCtx)
	nodeCtx, stopNodes := context.WithCancel(groupCtx)
	defer stopControl()
	defer stopNodes()

	group.Go(func() error { return member.Run(controlCtx) })
	var running errgroup.Group
	for _, n := range nodes {
		running.Go(func() error { return n.Run(nodeCtx) })
	}
	group.Go(func() error { defer stopControl(); return running.Wait() })
	for _, u := range upstreams {
		group.Go(func() error { return u.Run(nodeCtx) })
	}
	ready()
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	leaveAll(upstreams, options.Logger)
	stopNodes()
	return group.Wait()
}

func leaveAll(upstreams []*emulator.Upstream, logger log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for _, u := range upstreams {
		if err := u.Leave(ctx); err != nil {
			_ = logger.Log("msg", "demo upstream could not leave", "err", err)
		}
	}
}

// writeDocument writes the demo document with a new token for its admin team.
func writeDocument(dir string) (token, path string, err error) {
	doc := &document.Document{}
	if err := json.Unmarshal(demoDocument, doc); err != nil {
		return "", "", errors.Wrap(err, "dev: document")
	}
	token = uuid.NewString()
	digest := sha256.Sum256([]byte(token))
	team := doc.Teams["platform"]
	team.TokenSHA256 = []string{hex.EncodeToString(digest[:])}
	doc.Teams["platform"] = team
	data, err := json.Marshal(doc)
	if err != nil {
		return "", "", errors.Wrap(err, "dev: document")
	}
	path = filepath.Join(dir, "document.json")
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return "", "", errors.Wrap(err, "dev: document")
	}
	return token, path, errors.Wrap(os.WriteFile(filepath.Join(dir, "token"), []byte(token), fileMode), "dev: token")
}

func controlSettings(basePort int, dir, documentPath string) *settings.Control {
	mesh := address(basePort)
	return &settings.Control{
		ID: "control-1", Zone: demoZones[0], DataDir: filepath.Join(dir, "control-1"),
		MeshListen: mesh, MeshAddress: mesh, APIListen: address(basePort + 1),
		Bootstrap: []string{mesh}, BootstrapDocument: documentPath, LogLevel: "info",
	}
}

func newNodes(options Options) ([]*node.Node, []*emulator.Upstream, error) {
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
			Slots: demoSlots, Connections: demoConnections, Handler: greet(instance),
		})
		if err != nil {
			return nil, nil, err
		}
		nodes = append(nodes, n)
		upstreams = append(upstreams, u)
	}
	return nodes, upstreams, nil
}

// greet answers after a usual time of work.
func greet(instance string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(demoWork):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = fmt.Fprintf(w, "%s %s served by %s\n", r.Method, r.URL.Path, instance)
	})
}

func nodeSettings(basePort, index int, zone string) *settings.Node {
	first := basePort + 2 + index*portsPerNode
	mesh := address(first + 2)
	return &settings.Node{
		ID: "node-" + strconv.Itoa(index+1), Zone: zone,
		EntryListen: address(first), LocalListen: address(first + 1),
		MeshListen: mesh, MeshAddress: mesh, AdminListen: address(first + 3),
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
