package trial

import (
	"fmt"
	"slices"
	"strings"

	"arbutustrestle/core/table"
)

// Header names the columns of Row; times are in seconds unless it says otherwise.
const Header = "| policy | load | goodput | engine s per 1000 tokens | away % | refused per request | retries per request | tries per request | bounced |" +
	" p95 first, all | p95 between, ms | quick first 50/95/99 | quick whole | plan first | plan whole | session first | session whole |" +
	" answered % q/p/s/service | hot/rest % |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// modelClasses are the classes of requests for models.
var modelClasses = []table.Class{table.Quick, table.Plan, table.Session}

// FirstToken returns the times to the first token of all classes together.
func (p *Report) FirstToken() Durations {
	var times Durations
	for _, class := range modelClasses {
		times = append(times, p.Classes[class].FirstToken...)
	}
	return times
}

// InterToken returns the times between tokens of all classes together.
func (p *Report) InterToken() Durations {
	var times Durations
	for _, class := range modelClasses {
		times = append(times, p.Classes[class].InterToken...)
	}
	return times
}

// Row gives the figures of the report as one row of a table.
func (p *Report) Row(name string, load float64) string {
	var b strings.Builder
	refused := 0
	answered := ""
	for _, class := range append(slices.Clone(modelClasses), table.ServiceCall) {
		c := &p.Classes[class]
		if class != table.ServiceCall {
			refused += c.Refused
		}
		answered += fmt.Sprintf("/%.0f", 100*float64(c.Answered)/float64(max(1, c.Offered)))
	}
	per := float64(max(1, p.Offered))
	fmt.Fprintf(&b, "| %s | %.1f | %.3f | %.2f | %.1f | %.2f | %.3f | %.2f | %d | %.2f | %d |", name, load, p.Goodput(), p.CostPer1000Tokens().Seconds(),
		100*p.ForwardedShare(), float64(refused)/per, float64(p.Retries)/per, float64(p.Tries)/per, p.RefusedAttempts,
		p.FirstToken().Quantile(0.95).Seconds(), p.InterToken().Quantile(0.95).Milliseconds())
	for _, class := range modelClasses {
		c := &p.Classes[class]
		fmt.Fprintf(&b, " %s | %s |", c.FirstToken.percentiles(), c.ResponseTime.percentiles())
	}
	fmt.Fprintf(&b, " %s | %.0f/%.0f |", answered[1:], 100*p.HotWorkspace.AnsweredShare(), 100*p.OtherWorkspaces.AnsweredShare())
	return b.String()
}

// percentiles gives the median and the 95th and 99th percentiles in seconds.
func (t Durations) percentiles() string {
	return fmt.Sprintf("%.2f/%.2f/%.2f", t.Quantile(0.5).Seconds(), t.Quantile(0.95).Seconds(), t.Quantile(0.99).Seconds())
}
