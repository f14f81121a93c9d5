// Package sharecodec encodes rows and evacuations for the messages between entry instances. Times are sent
// as ages, since clocks differ.
package sharecodec

import (
	"time"

	"github.com/ridgehinge/ridgehinge/internal/clock"
	"github.com/ridgehinge/ridgehinge/internal/directory"
	"github.com/ridgehinge/ridgehinge/internal/peers/sharepb"
	"github.com/ridgehinge/ridgehinge/internal/table"
	"github.com/ridgehinge/ridgehinge/pkg/evacuation"
	"github.com/ridgehinge/ridgehinge/pkg/serving"
)

// ToRows encodes rows. learnedAt returns when a node first read a row that takes an endpoint out of
// service; other rows are sent without an age.
func ToRows(rows []table.Row, learnedAt func(key string) (at time.Time, ok bool), now time.Time) []*sharepb.Row {
	out := make([]*sharepb.Row, 0, len(rows))
	for _, r := range rows {
		row := &sharepb.Row{Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
		if at, ok := learnedAt(r.Key); ok {
			row.AgeMs = clock.AgeMillis(at, now)
		}
		out = append(out, row)
	}
	return out
}

// FromRows is the reverse of ToRows. It returns an update without versions and source.
func FromRows(rows []*sharepb.Row, now time.Time) directory.Update {
	u := directory.Update{Rows: make([]table.Row, 0, len(rows)), LearnedAt: map[string]time.Time{}}
	for _, r := range rows {
		u.Rows = append(u.Rows, table.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Removed: r.GetRemoved()})
		if age := r.GetAgeMs(); age > 0 {
			u.LearnedAt[r.GetKey()] = clock.FromAgeMillis(age, now)
		}
	}
	return u
}

// ToEvacuations encodes evacuations.
func ToEvacuations(records []evacuation.Record, now time.Time) *sharepb.EvacuationList {
	out := &sharepb.EvacuationList{}
	for _, record := range records {
		out.Evacuations = append(out.Evacuations, &sharepb.Evacuation{
			DataCentre: string(record.DataCentre),
			Lifted:     record.Lifted,
			AgeMs:      clock.AgeMillis(record.ChangedAt, now),
		})
	}
	return out
}

// FromEvacuations is the reverse of ToEvacuations.
func FromEvacuations(list *sharepb.EvacuationList, now time.Time) []evacuation.Record {
	var out []evacuation.Record
	for _, e := range list.GetEvacuations() {
		out = append(out, evacuation.Record{
			DataCentre: serving.DataCentre(e.GetDataCentre()),
			Lifted:     e.GetLifted(),
			ChangedAt:  clock.FromAgeMillis(e.GetAgeMs(), now),
		})
	}
	return out
}
