package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	demoSlots       = 10
	demoConnections = 200
	demoWork        = 5 * time.Millisecond
	announceTimeout = 5 * time.Second
	headerTimeout   = 5 * time.Second
)

// demoUpstream is an HTTP server that announces itself to a node.
type demoUpstream struct {
	service  string
	instance string
	startID  string
	node     string
	listener net.Listener
	server   *http.Server
}

func newDemoUpstream(service, instance, nodeAddress string) (*demoUpstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "demo upstream")
	}
	u := &demoUpstream{
		service: service, instance: instance, startID: uuid.NewString(), node: nodeAddress, listener: listener,
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve), ReadHeaderTimeout: headerTimeout}
	return u, nil
}

func (u *demoUpstream) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(demoWork):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "%s %s served by %s\n", r.Method, r.URL.Path, u.instance)
}

// run serves and keeps the announcement fresh until ctx ends, then leaves.
func (u *demoUpstream) run(ctx context.Context) error {
	go func() { _ = u.server.Serve(u.listener) }()
	err := u.post(ctx, "/v1/announce", httpapi.Announcement{
		Service: u.service, Address: u.listener.Addr().String(), Instance: u.instance, StartID: u.startID,
		Slots: demoSlots, Connections: demoConnections,
	})
	if err != nil {
		_ = u.server.Close()
		return err
	}
	<-ctx.Done()
	return nil
}

// leave tells the node that the upstream begins to leave.
func (u *demoUpstream) leave(ctx context.Context) error {
	return u.post(ctx, "/v1/leave", httpapi.Leave{StartID: u.startID})
}

func (u *demoUpstream) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "demo upstream")
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.node+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "demo upstream")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "demo upstream")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Errorf("demo upstream: %s answered %s", path, response.Status)
	}
	return nil
}
