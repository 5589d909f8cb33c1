package node

import (
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
	"github.com/chicorylever/chicorylever/internal/protocol/strictjson"
	"github.com/chicorylever/chicorylever/internal/transport/httplisten"
)

const (
	maxLocalBodyBytes = 64 << 10
	// maxColdMs is the longest cold start that an upstream may announce.
	maxColdMs = 60 * 60 * 1000
	// maxVersionBytes is the maximum length of an upstream's software version.
	maxVersionBytes = 255
	// confirmTimeout bounds the wait for control to report whether an upstream is departing
	// whose first announcement this node has not received. After it the upstream is used.
	confirmTimeout = 2 * time.Second
)

// localRoutes returns the handler for the upstream beside this node: its announcements
// and its calls to other services.
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
	if !decodeBody(w, r, a) {
		return
	}
	if err := n.Announce(a); err != nil {
		n.RejectAnnouncement(a.Instance, err)
		writeError(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Announce applies an announcement of the upstream beside the node. An outdated
// announcement has no effect; for an invalid one Announce returns an error. Once it has
// returned for a leaving upstream, no further request is sent to the upstream.
func (n *Node) Announce(a *httpapi.Announcement) error {
	if problem := checkAnnouncement(a); problem != "" {
		return errors.New(problem)
	}
	previous := n.upstream.currentAnnouncement()
	// The first announcement after a provisional one counts as new here: what control reports
	// of the start is looked up by its ID.
	isNewStart := previous == nil || previous.StartID != a.StartID
	if isNewStart {
		// No acknowledgement may confirm the new start before a heartbeat has reported it.
		n.announcedSequence.Store(math.MaxUint64)
	}
	err := n.upstream.announce(a, n.knowsService)
	if isNewStart {
		n.announcedSequence.Store(n.directory.LastSequence() + 1)
	}
	if errors.Is(err, errOutdated) {
		_ = level.Info(n.logger).Log("msg", "outdated announcement ignored", "instance", a.Instance, "start_id", a.StartID, "sequence", a.Sequence)
		return nil
	}
	if err != nil {
		return err
	}
	n.upstream.setWarmup(a.Service, n.directory.View().Doc.Services[a.Service].WarmupPerSecond)
	if isNewStart {
		time.AfterFunc(confirmTimeout, func() { n.upstream.confirmStart(a.StartID) })
		go n.askForSignals(a.StartID)
	}
	if isNewStart || previous.Leaving != a.Leaving || a.Version != "" && previous.Version != a.Version {
		n.directory.RequestHeartbeat()
		_ = level.Info(n.logger).Log("msg", "upstream announced", "service", a.Service, "instance", a.Instance,
			"start_id", a.StartID, "sequence", a.Sequence, "version", a.Version, "cold_ms", a.ColdMs, "leaving", a.Leaving, "provisional", a.Provisional)
	}
	return nil
}

// knowsService reports whether the configuration of the node has a service.
func (n *Node) knowsService(service string) bool {
	_, known := n.directory.View().Doc.Services[service]
	return known
}

// RejectAnnouncement counts and logs an announcement of an instance that could not be read.
func (n *Node) RejectAnnouncement(instance string, err error) {
	n.metrics.rejectedAnnouncements.Inc()
	_ = n.rejectionLogger.Log("msg", "announcement rejected", "instance", instance, "err", err)
}

// Leave stops new work for an instance that is leaving. It returns false when the instance
// is not the announced one, or startedMs, unless it is 0, is not the time of its start.
func (n *Node) Leave(instance string, startedMs int64) bool {
	a := n.upstream.currentAnnouncement()
	if a == nil || a.Instance != instance {
		return false
	}
	if startedMs != 0 && a.StartedMs != 0 && startedMs != a.StartedMs {
		_ = level.Info(n.logger).Log("msg", "leave of another start ignored", "instance", instance, "started_ms", startedMs, "start_id", a.StartID)
		return false
	}
	if !n.upstream.leave(a.StartID) {
		return false
	}
	n.directory.RequestHeartbeat()
	_ = level.Info(n.logger).Log("msg", "upstream is leaving", "instance", instance, "start_id", a.StartID)
	return true
}

// checkAnnouncement returns what is invalid about an announcement, or the empty string.
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
	case len(a.Version) > maxVersionBytes || !utf8.ValidString(a.Version):
		return "version must have at most 255 bytes of UTF-8"
	case a.StartedMs < 0 || a.ColdMs < 0 || a.ColdMs > maxColdMs:
		return "started_ms must not be negative and cold_ms be at most an hour"
	}
	return ""
}

func (n *Node) handleLeave(w http.ResponseWriter, r *http.Request) {
	leave := &httpapi.Leave{}
	if !decodeBody(w, r, leave) {
		return
	}
	if !n.upstream.leave(leave.StartID) {
		writeError(w, http.StatusConflict, httpapi.ErrorBody{Error: "start_id is not the announced one"})
		return
	}
	n.directory.RequestHeartbeat()
	_ = level.Info(n.logger).Log("msg", "upstream is leaving", "start_id", leave.StartID)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) handleLoad(w http.ResponseWriter, r *http.Request) {
	load := &httpapi.Load{}
	if !decodeBody(w, r, load) {
		return
	}
	if load.InFlight < 0 {
		writeError(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Error: "in_flight must not be negative"})
		return
	}
	if !n.upstream.setReportedLoad(load.StartID, load.InFlight) {
		writeError(w, http.StatusConflict, httpapi.ErrorBody{Error: "start_id is not the announced one"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decodeBody decodes the JSON body of a request of the upstream. On failure it writes an
// error response and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	defer httplisten.CountBody(r)()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxLocalBodyBytes))
	if err == nil {
		err = strictjson.UnmarshalKnown(data, target)
	}
	if err != nil {
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
