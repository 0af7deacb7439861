package jobstate

import (
	"github.com/cockroachdb/errors"

	"github.com/sedgemast/sedgemast/internal/storage"
	"github.com/sedgemast/sedgemast/internal/wire"
)

// ReadLine returns an input line of a file.
func ReadLine(reader storage.Reader, fileID string, line uint32) (wire.BatchLine, error) {
	var parsed wire.BatchLine
	value, err := reader.Get(lineKey(fileID, line))
	if err != nil {
		return parsed, err
	}
	if value == nil {
		return parsed, errors.Newf("line %d of file %s is missing from storage", line, fileID)
	}
	_, err = parsed.UnmarshalMsg(value)
	return parsed, err
}

// ReadLines returns up to limit input lines of a file, beginning at line from.
func ReadLines(reader storage.Reader, fileID string, from uint32, limit int) ([]wire.BatchLine, error) {
	var lines []wire.BatchLine
	var decodeErr error
	end := storage.PrefixEnd(lineKeyPrefix(fileID))
	err := reader.Scan(lineKey(fileID, from), end, func(_, value []byte) bool {
		var line wire.BatchLine
		if _, decodeErr = line.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		lines = append(lines, line)
		return len(lines) < limit
	})
	return lines, errors.CombineErrors(err, decodeErr)
}

// ReadResults returns up to request.Limit results in the order of the items: the failed ones if
// request.Failed is set, the succeeded ones otherwise.
func ReadResults(reader storage.Reader, request *wire.ReadResultsRequest) (*wire.ReadResultsResponse, error) {
	response := &wire.ReadResultsResponse{Done: true, Next: request.From}
	var decodeErr error
	end := storage.PrefixEnd(resultKeyPrefix(request.JobID))
	err := reader.Scan(ResultKey(request.JobID, request.From), end, func(key, value []byte) bool {
		if len(response.Results) == request.Limit {
			response.Done = false
			return false
		}
		var result wire.ItemResult
		if _, decodeErr = result.UnmarshalMsg(value); decodeErr != nil {
			return false
		}
		response.Next = itemOfKey(key) + 1
		if (result.Failure != nil) == request.Failed {
			response.Results = append(response.Results, result)
		}
		return true
	})
	return response, errors.CombineErrors(err, decodeErr)
}
