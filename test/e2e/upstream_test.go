package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

// upstreamEnv makes the test binary run as a fake upstream process.
const upstreamEnv = "CHICORY_E2E_UPSTREAM"

type upstreamConfig struct {
	Service  string
	Instance string
	Node     string
	// Log gets a line with the path of each request before it is worked on.
	Log string
}

func TestMain(m *testing.M) {
	if raw := os.Getenv(upstreamEnv); raw != "" {
		if err := runUpstream(raw); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func runUpstream(raw string) error {
	config := upstreamConfig{}
	if err := json.Unmarshal([]byte(raw), &config); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	log, err := os.OpenFile(config.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: echo(config, log), ReadHeaderTimeout: time.Second}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() { _ = server.Serve(listener) }()
	if err := announce(config, listener.Addr().String()); err != nil {
		return err
	}
	<-ctx.Done()
	return server.Close()
}

// echo answers with the instance and the request's method, path and body, after
// the delay that the query asks for.
func echo(config upstreamConfig, log io.Writer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(log, r.URL.Path+"\n")
		body, _ := io.ReadAll(r.Body)
		if ms, err := strconv.Atoi(r.URL.Query().Get("delay_ms")); err == nil {
			time.Sleep(time.Duration(ms) * time.Millisecond)
		}
		w.Header().Set("Upstream-Instance", config.Instance)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
	})
}

func announce(config upstreamConfig, address string) error {
	body, _ := json.Marshal(httpapi.Announcement{
		Service: config.Service, Address: address, Instance: config.Instance,
		StartID: strconv.Itoa(os.Getpid()), Slots: 10, Connections: 200,
	})
	for attempt := 0; ; attempt++ {
		response, err := http.Post("http://"+config.Node+"/v1/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNoContent {
				return nil
			}
			err = fmt.Errorf("announce: %s", response.Status)
		}
		if attempt == 100 {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
