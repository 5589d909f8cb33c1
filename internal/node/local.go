package node

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"github.com/chicorylever/chicorylever/internal/protocol/httpapi"
)

const maxLocalBodyBytes = 64 << 10

// localRoutes serves the upstream beside this node: announcements, and its calls
// to other services.
func (n *Node) localRoutes() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
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
	if problem := checkAnnouncement(a); problem != "" {
		writeError(w, http.StatusUnprocessableEntity, httpapi.ErrorBody{Error: problem})
		return
	}
	n.upstream.announce(a)
	n.directory.notify()
	_ = level.Info(n.logger).Log("msg", "upstream announced", "service", a.Service, "instance", a.Instance, "start_id", a.StartID)
	w.WriteHeader(http.StatusNoContent)
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
	n.directory.notify()
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
