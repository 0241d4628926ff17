package wire

import (
	"github.com/juju/errors"

	"arbutustrestle/core/dedup"
	"arbutustrestle/core/ident"
	"arbutustrestle/core/result"
)

// ChunkToWire encodes a chunk of a handover.
func ChunkToWire(c dedup.Chunk) *Chunk {
	message := &Chunk{
		From:     c.Owner.String(),
		Via:      c.Exporter.String(),
		Export:   c.ExportNumber,
		Number:   uint32(c.Index),
		Total:    uint32(c.Total),
		Complete: c.Complete,
		Oldest:   c.OldestEpoch,
		Current:  c.CurrentEpoch,
	}
	for _, r := range c.Records {
		message.Records = append(message.Records, &Record{
			Epoch:       r.Epoch,
			Unique:      r.Unique,
			Workspace:   string(r.Workspace),
			Fingerprint: r.Fingerprint[:],
			Running:     r.Running,
			Answer:      answerToWire(r.Answer),
		})
	}
	return message
}

// ChunkFromWire decodes a chunk of a handover. It returns a NotValid error for a message
// that no instance sends.
func ChunkFromWire(m *Chunk) (dedup.Chunk, error) {
	owner, err := ident.ParseIncarnation(m.GetFrom())
	if err != nil {
		return dedup.Chunk{}, errors.Trace(err)
	}
	exporter, err := ident.ParseIncarnation(m.GetVia())
	if err != nil {
		return dedup.Chunk{}, errors.Trace(err)
	}
	c := dedup.Chunk{
		Owner:        owner,
		Exporter:     exporter,
		ExportNumber: m.GetExport(),
		Index:        int(m.GetNumber()),
		Total:        int(m.GetTotal()),
		Complete:     m.GetComplete(),
		OldestEpoch:  m.GetOldest(),
		CurrentEpoch: m.GetCurrent(),
	}
	for _, r := range m.GetRecords() {
		record := dedup.ExportedRecord{
			Epoch:     r.GetEpoch(),
			Unique:    r.GetUnique(),
			Workspace: ident.Workspace(r.GetWorkspace()),
			Running:   r.GetRunning(),
			Answer:    answerFromWire(r.GetAnswer()),
		}
		if copy(record.Fingerprint[:], r.GetFingerprint()) != len(record.Fingerprint) {
			return dedup.Chunk{}, errors.NotValidf("fingerprint in a handover")
		}
		c.Records = append(c.Records, record)
	}
	return c, nil
}

func answerToWire(a *dedup.Answer) *Answer {
	if a == nil {
		return nil
	}
	message := &Answer{
		Outcome: a.Outcome.String(),
		Step:    a.Step.String(),
		Reason:  a.Reason.String(),
		Peer:    a.Peer,
		Status:  uint32(a.Status),
		Body:    a.Body,
	}
	for _, f := range a.Header {
		message.Headers = append(message.Headers, &Header{Name: f.Name, Value: []byte(f.Value)})
	}
	return message
}

func answerFromWire(m *Answer) *dedup.Answer {
	if m == nil {
		return nil
	}
	a := &dedup.Answer{
		Outcome: result.ParseOutcome(m.GetOutcome()),
		Step:    result.ParseStep(m.GetStep()),
		Reason:  result.ParseReason(m.GetReason()),
		Peer:    m.GetPeer(),
		Status:  int(m.GetStatus()),
		Body:    m.GetBody(),
	}
	for _, f := range m.GetHeaders() {
		a.Header = append(a.Header, dedup.HeaderField{Name: f.GetName(), Value: string(f.GetValue())})
	}
	return a
}
