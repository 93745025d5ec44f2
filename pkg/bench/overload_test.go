package bench

import (
	"math"
	"testing"

	"cassiapin/pkg/workload"
)

// Guards against a Friday burst that does not overload the runners: with a fixed
// burst factor of 6, the batched classes used only 0.17 of the capacity
// (berceuse).
func TestFridayBurstOverloadsRunners(t *testing.T) {
	for _, name := range []string{"berceuse", "vaxmynd"} {
		d, err := workload.ByName(name)
		if err != nil {
			t.Fatal(err)
		}
		var o workload.Options
		fridayBurst(&o, Params{Deployment: name, Duration: DefaultDuration})
		load := o.BurstFactor * batchLoad(d, overloadTimeScale)
		t.Logf("%s: burst factor %.1f, load with factor 6 at time scale 0.1: %.3f", name, o.BurstFactor, 6*batchLoad(d, timeScale))
		if math.Abs(load-overloadFactor) > 0.01 {
			t.Errorf("%s: burst load is %.2f times the capacity, want %.1f", name, load, overloadFactor)
		}
		if unloaded := batchLoad(d, overloadTimeScale) * unloadedRate / defaultRate; unloaded > 0.1 {
			t.Errorf("%s: friday-unloaded uses %.2f of the capacity, want at most 0.1", name, unloaded)
		}
	}
}
