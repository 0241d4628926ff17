package engine

import (
	"net/http"
	"slices"
	"time"

	"arbutustrestle/io/emul"
)

// Order is one order that an engine has received.
type Order struct {
	Fence uint64 `json:"fence"`
	// Want lists "model@version".
	Want []string `json:"want"`
	// Role is "decode", "prefill" or "mixed".
	Role string `json:"role"`
}

// LoggedOrder is an order with what became of it.
type LoggedOrder struct {
	Order
	Time     time.Time `json:"time"`
	Accepted bool      `json:"accepted"`
	// LoadsStarted is the number of model loads that it began.
	LoadsStarted int `json:"loads"`
}

// maxOrders bounds the log of orders; the oldest are dropped first.
const maxOrders = 4096

// model is one model that is loaded or loads.
type model struct {
	name string
	// ready is when it has loaded.
	ready time.Time
}

// orders is what the engine was told to be.
type orders struct {
	// any tells that every model is served, until the first order.
	any     bool
	models  []model
	highest uint64
	role    string
	log     []LoggedOrder
}

// start sets the models that are loaded from the beginning.
func (o *orders) start(loaded []string) {
	o.any = len(loaded) == 0
	o.role = "mixed"
	for _, name := range loaded {
		o.models = append(o.models, model{name: name})
	}
}

// loadedAt returns the models that are loaded at the time, or nil when every
// model is served.
func (o *orders) loadedAt(now time.Time) []string {
	if o.any {
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

// take carries out an order unless its fencing number is too low and checked.
// Models that stay are not loaded again.
func (o *orders) take(order Order, checks bool, now time.Time, loadTime time.Duration) bool {
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

// apply makes the wanted models the only ones and returns how many began to load.
func (o *orders) apply(order Order, ready time.Time) int {
	o.any = false
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
	accepted := e.orders.take(order, e.settings.EnforceFencing, e.settings.Clock.Now(), e.settings.ModelLoadTime)
	highest, loaded := e.orders.highest, e.loadedNow()
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
