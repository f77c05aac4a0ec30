package cellpb

import "github.com/ragworthatch/ragworthatch/internal/edge/zones"

// ZonesOf converts records of evacuated zones.
func ZonesOf(records []zones.Record) []*Zone {
	out := make([]*Zone, 0, len(records))
	for _, r := range records {
		out = append(out, &Zone{Name: r.Zone, Evacuated: r.Evacuated, Era: r.Era, Offset: r.Offset})
	}
	return out
}

// ZoneRecords converts records of evacuated zones from another process; those that name no zone are left out.
func ZoneRecords(messages []*Zone) []zones.Record {
	out := make([]zones.Record, 0, len(messages))
	for _, m := range messages {
		if m.GetName() != "" {
			out = append(out, zones.Record{Zone: m.Name, Evacuated: m.Evacuated, Era: m.Era, Offset: m.Offset})
		}
	}
	return out
}
