// Package wire holds the messages that the system's own processes exchange and the commands
// that control, coordinators and stores write to their replicated logs. All are encoded as
// MessagePack by generated code; the generated files are committed.
//
// Unless a field's name or comment says otherwise, an instant is in milliseconds since the
// Unix epoch and a duration in milliseconds. Between processes, a deadline is sent as the time
// left, so that their clocks need not agree.
package wire

//go:generate go tool msgp -file generate.go -o generate_gen.go -tests=false
//go:generate go tool msgp -file control.go -o control_gen.go -tests=false
//go:generate go tool msgp -file configuration.go -o configuration_gen.go -tests=false
//go:generate go tool msgp -file jobs.go -o jobs_gen.go -tests=false
//go:generate go tool msgp -file consensus.go -o consensus_gen.go -tests=false
//go:generate go tool msgp -file fleet.go -o fleet_gen.go -tests=false
//go:generate go tool msgp -file batch.go -o batch_gen.go -tests=false
//go:generate go tool msgp -file load.go -o load_gen.go -tests=false
//go:generate go tool msgp -file quarantine.go -o quarantine_gen.go -tests=false
