package engine

import (
	"net/http"
	"slices"
	"time"

	"arbutustrestle/io/emul"
)

// Order sets the models and the role of an engine.
type Order struct {
	Fence uint64 `json:"fence"`
	// Want lists the models to load, as "model@version".
	Want []string `json:"want"`
	// Role is "decode", "prefill" or "mixed".
	Role string `json:"role"`
}

// LoggedOrder is an order that an engine received, with its outcome.
type LoggedOrder struct {
	Order
	Time     time.Time `json:"time"`
	Accepted bool      `json:"accepted"`
	// LoadsStarted is the number of model loads that the order started.
	LoadsStarted int `json:"loads"`
}

// maxOrders is the maximum length of the log of orders; the oldest are dropped.
const maxOrders = 4096

// model is a model that is loaded or loading.
type model struct {
	name string
	// ready is the time at which it is loaded.
	ready time.Time
}

// orders holds the state that the accepted orders have set, and the log of orders.
type orders struct {
	// anyModel is set if every model is served, until the first accepted order.
	anyModel bool
	models   []model
	highest  uint64
	role     string
	log      []LoggedOrder
}

// setInitial sets the models that are loaded at the start.
func (o *orders) setInitial(loaded []string) {
	o.anyModel = len(loaded) == 0
	o.role = "mixed"
	for _, name := range loaded {
		o.models = append(o.models, model{name: name})
	}
}

// loadedAt returns the models that are loaded at the given time, or nil if every
// model is served.
func (o *orders) loadedAt(now time.Time) []string {
	if o.anyModel {
		return nil
	}
	list := []string{}
	for _, m := range o.models {
		if !now.Before(m.ready) {
			list = append(list, m.name)
		}
	}
	return list
}

// receive logs an order and applies it, unless fencing numbers are checked and the
// order's is too low. Loaded models that the order keeps are not loaded again.
func (o *orders) receive(order Order, checks bool, now time.Time, loadTime time.Duration) bool {
	logged := LoggedOrder{Order: order, Time: now, Accepted: !checks || order.Fence >= o.highest}
	if logged.Accepted {
		logged.LoadsStarted = o.apply(order, now.Add(loadTime))
	}
	if len(o.log) >= maxOrders {
		o.log = slices.Delete(o.log, 0, 1)
	}
	o.log = append(o.log, logged)
	return logged.Accepted
}

// apply replaces the models with those of the order and returns the number of loads
// started.
func (o *orders) apply(order Order, ready time.Time) int {
	o.anyModel = false
	o.highest = max(o.highest, order.Fence)
	if order.Role != "" {
		o.role = order.Role
	}
	loads := 0
	wanted := make([]model, 0, len(order.Want))
	for _, name := range order.Want {
		i := slices.IndexFunc(o.models, func(m model) bool { return m.name == name })
		if i >= 0 {
			wanted = append(wanted, o.models[i])
			continue
		}
		wanted = append(wanted, model{name: name, ready: ready})
		loads++
	}
	o.models = wanted
	return loads
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !emul.ReadJSON(w, r, &order) {
		return
	}
	if order.Role != "" && order.Role != "decode" && order.Role != "prefill" && order.Role != "mixed" {
		http.Error(w, "role is decode, prefill or mixed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	accepted := e.orders.receive(order, e.settings.EnforceFencing, e.settings.Clock.Now(), e.settings.ModelLoadTime)
	highest, loaded := e.orders.highest, e.loadedModels()
	e.mu.Unlock()
	status := http.StatusOK
	if !accepted {
		status = http.StatusConflict
	}
	emul.WriteJSON(w, status, struct {
		HighestFence uint64   `json:"highest-fence"`
		Loaded       []string `json:"loaded"`
	}{highest, loaded})
}

// Orders returns the orders received, the oldest first.
func (e *Engine) Orders() []LoggedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders.log)
}

func (e *Engine) serveOrderLog(w http.ResponseWriter, _ *http.Request) {
	emul.WriteJSON(w, http.StatusOK, struct {
		Orders []LoggedOrder `json:"orders"`
	}{append([]LoggedOrder{}, e.Orders()...)})
}
