package standin

import (
	"fmt"
	"net/http"
	"sync"
)

// OperationHeader is the header in which clients send the key of an operation.
const OperationHeader = "Operation"

// OperationTable is the record of operations that the engines of one service share. A repeat of an
// operation gets the first answer, or 409 and the header that states that it did not run while the
// first request runs. An operation whose run broke off is forgotten. It is safe for concurrent use.
type OperationTable struct {
	mutex      sync.Mutex
	operations map[operationName]*operation
}

// operationName identifies an operation: keys of two tenants are different operations.
type operationName struct{ tenant, key string }

// operation is an operation that runs or ran.
type operation struct {
	ended bool
	seal  string
	body  string
}

// NewOperationTable returns an empty table.
//
//	engine.Operations = standin.NewOperationTable()
func NewOperationTable() *OperationTable {
	return &OperationTable{operations: map[operationName]*operation{}}
}

// nameOfOperation returns the operation of a request; false if it has no key.
func nameOfOperation(request *http.Request) (operationName, bool) {
	name := operationName{request.Header.Get(HeaderNames.Tenant), request.Header.Get(OperationHeader)}
	return name, name.key != ""
}

// begin records that a request runs an operation. It returns the earlier one if there is one.
func (table *OperationTable) begin(name operationName, seal, body string) (earlier operation, known bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if found := table.operations[name]; found != nil {
		return *found, true
	}
	table.operations[name] = &operation{seal: seal, body: body}
	return operation{}, false
}

// end records that the operation ran to its end.
func (table *OperationTable) end(name operationName) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.operations[name].ended = true
}

// forget removes an operation that has not ended.
func (table *OperationTable) forget(name operationName) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	if !table.operations[name].ended {
		delete(table.operations, name)
	}
}

// answer answers a repeat.
func (earlier *operation) answer(writer http.ResponseWriter) {
	if !earlier.ended {
		writer.Header().Set(HeaderNames.NotRun, "1")
		writer.WriteHeader(http.StatusConflict)
		return
	}
	writer.Header().Set("Seal", earlier.seal)
	fmt.Fprint(writer, earlier.body)
}

// runOperation runs an operation unless the table of the engine's service has it.
func (engine *Engine) runOperation(writer http.ResponseWriter, request *http.Request, name operationName, body string, fault Fault) {
	requestID := request.Header.Get(HeaderNames.RequestID)
	earlier, known := engine.Operations.begin(name, engine.seal(requestID), plainAnswer(requestID))
	if known {
		earlier.answer(writer)
		return
	}
	defer engine.Operations.forget(name) // has no effect after the end
	execution := engine.recordExecution(request, body, fault)
	engine.simulateWork(request)
	engine.Operations.end(name)
	engine.endExecution(execution)
	switch fault {
	case FaultHang:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case FaultLoseAnswer:
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Seal", engine.seal(requestID))
	fmt.Fprint(writer, plainAnswer(requestID))
}
