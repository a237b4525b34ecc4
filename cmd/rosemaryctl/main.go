// Command rosemaryctl is the operators' command line.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/contract"
	"github.com/rosemarypass/rosemarypass/coord/membership"
	"github.com/rosemarypass/rosemarypass/internal/control"
)

type contractGet struct {
	ID string `arg:"positional,required"`
}

type contractPut struct {
	File string `arg:"positional,required" help:"contract as JSON; its revision is the one that was read, 0 to create"`
}

type contractCommand struct {
	Get *contractGet `arg:"subcommand:get" help:"show a contract"`
	Put *contractPut `arg:"subcommand:put" help:"create or change a contract"`
}

type serverList struct{}

type serverCommand struct {
	List *serverList `arg:"subcommand:list" help:"list the announced backend servers"`
}

type arguments struct {
	Control  string           `arg:"--control,env:ROSEMARY_CONTROL" default:"http://127.0.0.1:7300" help:"operators' URL of a control instance"`
	Key      string           `arg:"--key,env:ROSEMARY_KEY" help:"operator key"`
	Contract *contractCommand `arg:"subcommand:contract" help:"contracts"`
	Server   *serverCommand   `arg:"subcommand:server" help:"backend servers"`
}

const callTimeout = 10 * time.Second

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if err := run(args, parser); err != nil {
		fmt.Fprintln(os.Stderr, "rosemaryctl:", err)
		os.Exit(1)
	}
}

func run(args arguments, parser *arg.Parser) error {
	c := client{base: args.Control, key: args.Key}
	switch {
	case args.Contract != nil && args.Contract.Get != nil:
		return c.show(http.MethodGet, "/admin/v1/contracts/"+args.Contract.Get.ID, nil)
	case args.Contract != nil && args.Contract.Put != nil:
		return putContract(c, args.Contract.Put.File)
	case args.Server != nil && args.Server.List != nil:
		return listServers(c)
	default:
		parser.WriteHelp(os.Stdout)
		return errors.New("a subcommand is required")
	}
}

func putContract(c client, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read contract")
	}
	var next contract.Contract
	if err := json.Unmarshal(data, &next); err != nil {
		return errors.Wrap(err, "parse contract")
	}
	return c.show(http.MethodPut, "/admin/v1/contracts/"+next.ID, data)
}

func listServers(c client) error {
	data, err := c.call(http.MethodGet, "/admin/v1/servers", nil)
	if err != nil {
		return err
	}
	var servers []membership.Announcement
	if err := json.Unmarshal(data, &servers); err != nil {
		return errors.Wrap(err, "parse servers")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tPOOL\tDATA CENTRE\tADDRESS\tRUNNING\tWAITING\tLEAVING")
	for _, s := range servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%t\n", s.Server, s.Pool, s.DataCentre, s.Address, s.Load.Running, s.Load.Waiting, s.Leaving)
	}
	return table.Flush()
}

// client calls the operators' interface.
type client struct{ base, key string }

func (c client) show(method, path string, body []byte) error {
	data, err := c.call(method, path, body)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(data)
	return err
}

func (c client) call(method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set(control.OperationHeader, uuid.NewString())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call control")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: %s", response.Status, bytes.TrimSpace(data))
	}
	return data, nil
}
