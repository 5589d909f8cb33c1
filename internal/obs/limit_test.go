package obs

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// TestLimit guards against a repeated event that fills the log, and against dropped lines
// that are not counted.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := RateLimit(log.NewLogfmtLogger(&out), time.Second)
		for range 25 {
			assert.NilError(t, logger.Log("msg", "refused"))
			time.Sleep(100 * time.Millisecond)
		}
		want := []string{"suppressed=0 msg=refused", "suppressed=9 msg=refused", "suppressed=9 msg=refused", ""}
		assert.DeepEqual(t, strings.Split(out.String(), "\n"), want)
	})
}
