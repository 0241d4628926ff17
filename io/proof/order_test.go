package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"

	"arbutustrestle/io/emul/engine"
	"arbutustrestle/io/fleet"
)

// get reads a control path of a stand-in.
func get(ctx context.Context, u *fleet.Upstream, path string, to any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address.String()+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, to)
}

// loaded waits until each engine has loaded what the table wants.
func (w *world) loaded(want ...string) {
	w.t.Helper()
	w.until(func() error {
		for _, u := range w.Upstreams {
			var load struct {
				Loaded []string `json:"loaded"`
			}
			if err := get(w.ctx, u, "/v1/load", &load); err != nil {
				return err
			}
			slices.Sort(load.Loaded)
			if !slices.Equal(load.Loaded, want) {
				return fmt.Errorf("%s has loaded %v, not %v", u.Name, load.Loaded, want)
			}
		}
		return nil
	})
}

// TestOrders gives engines that check orders another model to load, freezes their
// orderers while the list and the table change, and lets these wake up. No order with
// an older number is taken after one with a newer, and in the end each engine has what
// the table wants. The same engines without the check get the wanted end, too.
func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %t", checks), func(t *testing.T) {
			t.Parallel()
			flags := []string{"-models", "planner@v3"}
			if checks {
				flags = append(flags, "-checks-fence")
			}
			w := start(t, shape{entries: []string{"west-1", "west-2", "west-3"}, engines: []string{"west-1", "west-2"}, engineFlags: flags})
			if !checks {
				w.publish("pools", "planners", "checks-orders", "no")
			}
			w.publish("pools", "planners", "serves", "planner@v3 planner@v4")
			w.loaded("planner@v3", "planner@v4")
			frozen := w.entry("west-1")
			frozen.Freeze()
			w.must(w.PublishEntries(w.ctx, frozen.Plan.ID))
			w.must(w.SetCell("pools", "planners", "serves", "planner@v3"))
			w.must(w.PublishTable(w.ctx, "one version less"))
			w.loaded("planner@v3")
			frozen.Thaw()
			w.must(w.PublishEntries(w.ctx))
			if checks {
				// Each change of the list makes orderers of engines without the check wait.
				w.publish("pools", "planners", "serves", "planner@v3 planner@v4")
				w.loaded("planner@v3", "planner@v4")
			}
			for _, u := range w.Upstreams {
				w.ordered(u, checks)
			}
		})
	}
}

// ordered checks the log of an engine's orders: numbers that fall are refused by an
// engine that checks them.
func (w *world) ordered(u *fleet.Upstream, checks bool) {
	var log struct {
		Orders []engine.LoggedOrder `json:"orders"`
	}
	w.must(get(w.ctx, u, "/v1/orders", &log))
	if len(log.Orders) < 2 {
		w.t.Errorf("%s has had %d orders", u.Name, len(log.Orders))
	}
	highest := uint64(0)
	for _, o := range log.Orders {
		if checks && o.Accepted && o.Fence < highest {
			w.t.Errorf("%s took an order with %d after %d", u.Name, o.Fence, highest)
		}
		if o.Fence == 0 {
			w.t.Errorf("%s has had an order without a number", u.Name)
		}
		highest = max(highest, o.Fence)
	}
}
