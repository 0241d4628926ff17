package trial

import (
	"fmt"
	"slices"
	"strings"

	"arbutustrestle/core/table"
)

// Header names the columns of Row. Times are in seconds unless the column states
// another unit.
const Header = "| policy | load | goodput | engine s per 1000 tokens | away % | refused per request | retries per request | tries per request | bounced |" +
	" p95 first, all | p95 between, ms | quick first 50/95/99 | quick whole | plan first | plan whole | session first | session whole |" +
	" answered % q/p/s/service | hot/rest % |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

// modelClasses are the classes of model requests.
var modelClasses = []table.Class{table.Quick, table.Plan, table.Session}

// FirstToken returns the times to the first token, over all classes of model requests.
func (p *Report) FirstToken() Durations {
	var sample Durations
	for _, class := range modelClasses {
		sample = append(sample, p.Classes[class].FirstToken...)
	}
	return sample
}

// InterToken returns the mean times between tokens, over all classes of model requests.
func (p *Report) InterToken() Durations {
	var sample Durations
	for _, class := range modelClasses {
		sample = append(sample, p.Classes[class].InterToken...)
	}
	return sample
}

// Row formats the results of the report as one row of a table.
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
	offered := float64(max(1, p.Offered))
	fmt.Fprintf(&b, "| %s | %.1f | %.3f | %.2f | %.1f | %.2f | %.3f | %.2f | %d | %.2f | %d |", name, load, p.Goodput(), p.CostPer1000Tokens().Seconds(),
		100*p.ForwardedShare(), float64(refused)/offered, float64(p.Retries)/offered, float64(p.Tries)/offered, p.RefusedAttempts,
		p.FirstToken().Quantile(0.95).Seconds(), p.InterToken().Quantile(0.95).Milliseconds())
	for _, class := range modelClasses {
		c := &p.Classes[class]
		fmt.Fprintf(&b, " %s | %s |", c.FirstToken.formatPercentiles(), c.ResponseTime.formatPercentiles())
	}
	fmt.Fprintf(&b, " %s | %.0f/%.0f |", answered[1:], 100*p.HotWorkspace.AnsweredShare(), 100*p.OtherWorkspaces.AnsweredShare())
	return b.String()
}

// formatPercentiles formats the median and the 95th and 99th percentiles in seconds.
func (t Durations) formatPercentiles() string {
	return fmt.Sprintf("%.2f/%.2f/%.2f", t.Quantile(0.5).Seconds(), t.Quantile(0.95).Seconds(), t.Quantile(0.99).Seconds())
}
