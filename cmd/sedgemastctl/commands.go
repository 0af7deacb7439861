package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/configuration"
	"github.com/sedgemast/sedgemast/internal/failure"
	"github.com/sedgemast/sedgemast/internal/keys"
	"github.com/sedgemast/sedgemast/internal/metastate"
	"github.com/sedgemast/sedgemast/internal/operator"
	"github.com/sedgemast/sedgemast/internal/settings"
	"github.com/sedgemast/sedgemast/internal/wire"
)

const (
	// maxDrainAttempts bounds the attempts at a drain that conflicts with other changes.
	maxDrainAttempts = 20
)

func runApply(ctx context.Context, flags *applyCommand) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(flags.File)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "name a file that can be read", "the documents can't be read")
	}
	documents, err := operator.ParseDocuments(data)
	if err != nil {
		return err
	}
	change := &operator.Change{ChangeID: flags.ChangeID, ExpectedRevision: flags.ExpectRevision, Documents: documents}
	if change.ChangeID == "" {
		change.ChangeID = newChangeID()
	}
	if change.ExpectedRevision == nil {
		current, err := client.Documents(ctx, "none", "")
		if err != nil {
			return err
		}
		change.ExpectedRevision = &current.Revision
	}
	applied, err := operator.ApplyWithRetry(ctx, client, change)
	if err != nil {
		return errors.Wrapf(err, "change %s", change.ChangeID)
	}
	if flags.Wait {
		if err := operator.WaitInForce(ctx, client, applied.Revision); err != nil {
			return err
		}
	}
	if flags.JSON {
		return printJSON(applied)
	}
	fmt.Printf("change %s accepted as revision %d", change.ChangeID, applied.Revision)
	if applied.Repeated {
		fmt.Print(" (it was already accepted before)")
	}
	fmt.Println()
	return nil
}

func newChangeID() string {
	return fmt.Sprintf("ctl-%s-%d", time.Now().UTC().Format("20060102-150405.000"), os.Getpid())
}

func runGet(ctx context.Context, flags *getCommand) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	list, err := client.Documents(ctx, flags.Kind, flags.Name)
	if err != nil {
		return err
	}
	if flags.JSON || flags.Name != "" {
		return printJSON(list)
	}
	return printTable("KIND\tNAME\tREVISION", func(table io.Writer) {
		for _, document := range list.Documents {
			fmt.Fprintf(table, "%s\t%s\t%d\n", document.Kind, document.Name, document.Revision)
		}
	})
}

func runHistory(ctx context.Context, flags *historyCommand) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	changes, err := client.History(ctx, flags.Limit)
	if err != nil || flags.JSON {
		return printJSONUnlessErr(err, changes)
	}
	return printTable("REVISION\tAT\tOPERATOR\tCHANGE\tDOCUMENTS", func(table io.Writer) {
		for _, change := range changes.Changes {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%v\n", change.Revision, formatMillis(change.AtMillis), change.Operator, change.ChangeID, change.Documents)
		}
	})
}

func runStatus(ctx context.Context, flags *statusCommand) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil || flags.JSON {
		return printJSONUnlessErr(err, status)
	}
	fmt.Printf("configuration revision %d, in force at %d of %d daemons\n\n", status.ConfigRevision, status.InForce, len(status.Daemons))
	err = printTable("DAEMON\tROLE\tZONE\tADDRESS\tREVISION\tWORKERS\tDRAINING\tLEASE LEFT", func(table io.Writer) {
		for _, row := range status.Daemons {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%t\t%dms\n", row.Name, row.Role, row.Zone, row.Address, row.ConfigRevision, row.Workers, row.Draining, row.LeaseLeft)
		}
	})
	if err != nil {
		return err
	}
	fmt.Println()
	err = printTable("CONTROL\tSTATE\tADDRESS\tBEHIND\tSILENT", func(table io.Writer) {
		for _, row := range status.Control {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%dms\n", row.Name, row.State, row.Address, row.Behind, row.SilentMillis)
		}
	})
	if err != nil {
		return err
	}
	fmt.Println()
	return printTable("WORKER\tZONE\tADDRESS\tDISPATCHER\tEPOCH\tLEAVING", func(table io.Writer) {
		for _, row := range status.Workers {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\n", row.Name, row.Zone, row.Address, row.Dispatcher, row.Epoch, row.Leaving)
		}
	})
}

func runJobs(ctx context.Context, flags *jobsCommand) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	list, err := client.Jobs(ctx, flags.Tenant, flags.Limit)
	if err != nil || flags.JSON {
		return printJSONUnlessErr(err, list)
	}
	return printTable("JOB\tTENANT\tSTATE\tMODEL\tITEMS\tSUCCEEDED\tFAILED\tDEADLINE", func(table io.Writer) {
		for _, job := range list.Jobs {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.ID, job.Tenant, job.State, job.Model, job.Items, job.Succeeded, job.Failed, formatMillis(job.DeadlineMillis))
		}
	})
}

// runDrain applies a drain document. The change conflicts if another operator has changed the
// configuration since its revision was read. runDrain then reads the new revision and sends the
// change again.
func runDrain(ctx context.Context, flags *drainCommand) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	document := operator.Document{Kind: metastate.KindDrain, Name: flags.Name, Delete: flags.Cancel}
	if !flags.Cancel {
		if document.Spec, err = json.Marshal(metastate.Drain{Reason: flags.Reason}); err != nil {
			return err
		}
	}
	for attempt := 1; ; attempt++ {
		current, err := client.Documents(ctx, metastate.KindDrain, "")
		if err != nil {
			return err
		}
		change := &operator.Change{ChangeID: newChangeID(), ExpectedRevision: &current.Revision, Documents: []operator.Document{document}}
		applied, err := operator.ApplyWithRetry(ctx, client, change)
		if err == nil {
			fmt.Printf("%s: drain=%t accepted as revision %d\n", flags.Name, !flags.Cancel, applied.Revision)
			return nil
		}
		if !failure.Is(err, failure.Conflict) || attempt == maxDrainAttempts {
			return err
		}
	}
}

func runNewKey(flags *newKeyCommand) error {
	if flags.Kind != metastate.KindTenant && flags.Kind != metastate.KindOperator {
		return failure.New(failure.BadRequest, "use tenant or operator", "%q has no keys", flags.Kind).WithField("kind")
	}
	secret, err := keys.New(flags.Kind, flags.Owner)
	if err != nil {
		return err
	}
	fmt.Printf("key (shown once, give it to its owner): %s\nsha256 (put it in the document): %s\n", secret, configuration.Digest(secret))
	return nil
}

func runCheckSettings(flags *checkSettingsCommand) error {
	var target settings.Checked
	switch flags.Role {
	case "gateway":
		target = settings.DefaultGateway()
	case "dispatcher":
		target = settings.DefaultDispatcher()
	case "control":
		target = settings.DefaultControl()
	case "engine":
		target = settings.DefaultEngine()
	case "edge":
		target = settings.DefaultEdge()
	case "coordinator":
		target = settings.DefaultCoordinator()
	case "store":
		target = settings.DefaultStore()
	default:
		return failure.New(failure.BadRequest, "use gateway, dispatcher, control, engine, edge, coordinator or store", "%q is not a role", flags.Role).WithField("role")
	}
	if err := settings.Load(flags.File, target, nil); err != nil {
		return err
	}
	fmt.Printf("%s: valid settings of a %s\n", flags.File, flags.Role)
	return nil
}

func runCheckDocuments(flags *checkDocumentsCommand) error {
	data, err := os.ReadFile(flags.File)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, "name a file that can be read", "the documents can't be read")
	}
	documents, err := operator.ParseDocuments(data)
	if err != nil {
		return err
	}
	for _, document := range documents {
		checked := wire.Document{Kind: document.Kind, Name: document.Name, Body: document.Spec, Deleted: document.Delete}
		if _, err := metastate.CheckDocument(checked); err != nil {
			return err
		}
	}
	fmt.Printf("%s: %d valid documents; references are checked when they are applied\n", flags.File, len(documents))
	return nil
}

func printJSONUnlessErr(err error, value any) error {
	if err != nil {
		return err
	}
	return printJSON(value)
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printTable(header string, rows func(io.Writer)) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, header)
	rows(table)
	return table.Flush()
}

func formatMillis(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }
