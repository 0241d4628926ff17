package config

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"arbutustrestle/core/table"
)

// ReadSheets reads every ".csv" file of a folder as a sheet of the table. It returns an
// error if the folder or a file cannot be read; table.Check reports the faults of the
// sheets.
func ReadSheets(folder string) ([]table.Sheet, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Annotate(err, "reading the table")
	}
	var sheets []table.Sheet
	for _, entry := range entries {
		if filepath.Ext(entry.Name()) != ".csv" {
			continue
		}
		file := filepath.Join(folder, entry.Name())
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Annotate(err, "reading the table")
		}
		sheets = append(sheets, table.ParseSheet(filepath.ToSlash(file), data))
	}
	return sheets, nil
}

// ReadTable reads the table of a folder. It returns table.Faults with all faults of the
// sheets, or the error from ReadSheets.
func ReadTable(folder string) (*table.Table, error) {
	sheets, err := ReadSheets(folder)
	if err != nil {
		return nil, err
	}
	t, faults := table.Check(sheets)
	if len(faults) > 0 {
		return nil, faults
	}
	return t, nil
}
