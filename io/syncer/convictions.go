package syncer

import (
	"strconv"

	"github.com/rs/zerolog"

	"arbutustrestle/core/poison"
	"arbutustrestle/io/metric"
)

// RecordConvictions counts and logs the prompt parts that have been convicted or acquitted.
// The log has their keys; the requests that are lost or refused are logged with the ids.
func RecordConvictions(log zerolog.Logger, metrics *metric.Set, changes []poison.Change) {
	for _, c := range changes {
		line := log.Warn().Str("part-key", strconv.FormatUint(uint64(c.Part), 16))
		if c.Convicted {
			metrics.Events.Add("prompt-parts-convicted", 1)
			line.Int("requests-lost", c.Losses).Msg("requests with a prompt part refused: it ends upstreams")
			continue
		}
		metrics.Events.Add("prompt-parts-acquitted", 1)
		line.Msg("requests with a prompt part served again")
	}
}
