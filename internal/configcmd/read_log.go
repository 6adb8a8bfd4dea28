package configcmd

import (
	"context"

	"github.com/goldcrestsail/goldcrestsail/configlog"
	"github.com/goldcrestsail/goldcrestsail/kind"
	"github.com/goldcrestsail/goldcrestsail/logservice"
)

// readRecords bounds the records of one read.
const readRecords = 512

// readLog folds the config stream up to its end. The error has kind
// log-unavailable, also if the kept records do not give the whole
// configuration.
func readLog(ctx context.Context, client logservice.Client) (*configlog.State, error) {
	s, from := configlog.NewState(), uint64(0)
	for {
		batch, err := client.Read(ctx, configlog.Stream, from, readRecords, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 {
			if batch.Next > s.Offset() {
				return nil, kind.Newf(kind.LogUnavailable, "records before offset %d have expired, and no snapshot covers them; a node that has the configuration must write one", batch.Next)
			}
			return s, nil
		}
		from = batch.Next
		for _, r := range batch.Records {
			if configlog.Fold(s, r).Outcome == configlog.SnapshotApplied {
				from = s.Offset()
				break
			}
		}
	}
}
