package node

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const (
	maxLocalBodyBytes = 64 << 10
	// maxColdMs bounds the cold start that an upstream may announce.
	maxColdMs = 60 * 60 * 1000
	// confirmWait bounds the wait for control's word on an upstream whose start this node
	// has not seen; without control the upstream is used.
	confirmWait = 2 * time.Second
)

// localRoutes serves the upstream beside this node: announcements, and its calls
// to other services.
func (n *Node) localRoutes() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	if n.options.LocalRoutes != nil {
		n.options.LocalRoutes(n, router)
	}
	router.HandleFunc("/v1/announce", n.handleAnnounce).Methods(http.MethodPost)
	router.HandleFunc("/v1/leave", n.handleLeave).Methods(http.MethodPost)
	router.HandleFunc("/v1/load", n.handleLoad).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(n.handleCall)
	return router
}

func (n *Node) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	a := &httpapi.Announcement{}
	if !decodeLocal(w, r, a) {
		return
	}
	if err := n.Announce(a); err != nil {
		writeError(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Announce takes an announcement of the upstream beside the node. A late one has no
// effect. It returns an error for one that is not valid. Once it returns for a leaving
// upstream, no further request is sent to it.
func (n *Node) Announce(a *httpapi.Announcement) error {
	if problem := checkAnnouncement(a); problem != "" {
		return errors.New(problem)
	}
	former := n.upstream.announced()
	isNewStart := former == nil || former.StartID != a.StartID
	if isNewStart {
		// No acknowledgement confirms the new start before a heartbeat has told of it.
		n.announcedAt.Store(math.MaxUint64)
	}
	accepted := n.upstream.announce(a)
	if isNewStart {
		n.announcedAt.Store(n.directory.LastSequence() + 1)
	}
	if !accepted {
		_ = level.Info(n.logger).Log("msg", "late announcement ignored", "instance", a.Instance, "start_id", a.StartID, "sequence", a.Sequence)
		return nil
	}
	n.upstream.setWarmup(a.Service, n.directory.View().Doc.Services[a.Service].WarmupPerSecond)
	if isNewStart {
		time.AfterFunc(confirmWait, func() { n.upstream.confirm(a.StartID) })
	}
	if isNewStart || former.Leaving != a.Leaving {
		n.directory.Notify()
		_ = level.Info(n.logger).Log("msg", "upstream announced", "service", a.Service, "instance", a.Instance,
			"start_id", a.StartID, "sequence", a.Sequence, "cold_ms", a.ColdMs, "leaving", a.Leaving)
	}
	return nil
}

// Leave takes the departure of an instance. It returns false for another instance than
// the announced one.
func (n *Node) Leave(instance string) bool {
	a := n.upstream.announced()
	if a == nil || a.Instance != instance || !n.upstream.leave(a.StartID) {
		return false
	}
	n.directory.Notify()
	_ = level.Info(n.logger).Log("msg", "upstream is leaving", "instance", instance, "start_id", a.StartID)
	return true
}

func checkAnnouncement(a *httpapi.Announcement) string {
	_, _, err := net.SplitHostPort(a.Address)
	switch {
	case a.Service == "" || a.Instance == "" || a.StartID == "":
		return "service, instance and start_id must not be empty"
	case err != nil:
		return "address must be host:port"
	case a.Slots < 1 || a.Slots > 1<<16:
		return "slots must be between 1 and 65536"
	case a.Connections < 0 || a.Connections > 1<<20:
		return "connections must be between 0 and 1048576"
	case a.StartedMs < 0 || a.ColdMs < 0 || a.ColdMs > maxColdMs:
		return "started_ms must not be negative and cold_ms be at most an hour"
	}
	return ""
}

func (n *Node) handleLeave(w http.ResponseWriter, r *http.Request) {
	leave := &httpapi.Leave{}
	if !decodeLocal(w, r, leave) {
		return
	}
	if !n.upstream.leave(leave.StartID) {
		writeError(w, http.StatusConflict, httpapi.ErrorBody{Error: "start_id is not the announced one"})
		return
	}
	n.directory.Notify()
	_ = level.Info(n.logger).Log("msg", "upstream is leaving", "start_id", leave.StartID)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) handleLoad(w http.ResponseWriter, r *http.Request) {
	load := &httpapi.Load{}
	if !decodeLocal(w, r, load) {
		return
	}
	if load.InFlight < 0 {
		writeError(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Error: "in_flight must not be negative"})
		return
	}
	if !n.upstream.setLoad(load.StartID, load.InFlight) {
		writeError(w, http.StatusConflict, httpapi.ErrorBody{Error: "start_id is not the announced one"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func decodeLocal(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLocalBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeError(w, http.StatusBadRequest, httpapi.ErrorBody{Error: err.Error()})
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, status int, body httpapi.ErrorBody) {
	if body.Outcome != "" {
		w.Header().Set(httpapi.HeaderOutcome, body.Outcome)
	}
	if body.Reason != "" {
		w.Header().Set(httpapi.HeaderReason, body.Reason)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
