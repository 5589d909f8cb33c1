package control

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"

	"github.com/chicorylever/chicorylever/internal/coordination/distribute"
	"github.com/chicorylever/chicorylever/internal/coordination/membership"
	"github.com/chicorylever/chicorylever/internal/state/slo"
	"github.com/chicorylever/chicorylever/internal/transport/mesh"
)

// newExchange returns the exchange of leases with the other members.
func (c *Control) newExchange() *membership.Exchange {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return c.client.Open(ctx, address, mesh.Small)
	}
	epoch := uint64(time.Now().UnixNano()) //nolint:gosec // positive since 1970
	return membership.NewExchange(c.registry, c.settings.ID, epoch, dial, c.otherMembers, c.logger)
}

// otherMembers returns the mesh addresses of the members but this one.
func (c *Control) otherMembers() []string {
	var others []string
	for _, address := range append(append([]string(nil), c.settings.Bootstrap...), c.settings.Join...) {
		if address != c.settings.MeshAddress {
			others = append(others, address)
		}
	}
	return others
}

// quorumContact tells whether the member hears from a quorum.
func (c *Control) quorumContact() bool { return true }

// keepRegistry expires leases until ctx ends and logs when the list becomes
// stale and when that ends.
func (c *Control) keepRegistry(ctx context.Context) {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if c.registry.Tick(now, c.quorumContact()) {
			c.logRegistry(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Control) logRegistry(now time.Time) {
	status := c.registry.Status(now)
	if status.Stale {
		_ = level.Warn(c.logger).Log("msg", "list of instances is kept", "reason", status.Reason,
			"nodes", status.Nodes, "own", status.Own, "late", status.Late)
		return
	}
	_ = level.Info(c.logger).Log("msg", "list of instances is up to date again",
		"nodes", status.Nodes, "own", status.Own, "late", status.Late)
}

// registryReport is the JSON body of GET /v1/registry.
type registryReport struct {
	Member       string              `json:"member"`
	Registry     membership.Status   `json:"registry"`
	Distribution distribute.Progress `json:"distribution"`
}

func (c *Control) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/nodes", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, c.registry.Nodes())
	}).Methods(http.MethodGet)
	router.HandleFunc("/v1/registry", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, registryReport{
			Member: c.settings.ID, Registry: c.registry.Status(time.Now()), Distribution: c.distribute.Progress(),
		})
	}).Methods(http.MethodGet)
	burn := slo.NewHandler(c.burn, c.objectives, time.Now)
	router.Handle("/v1/burn", burn)
	router.Handle("/v1/burn.html", burn)
	return router
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
