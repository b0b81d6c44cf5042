package batchapi

import (
	"context"
	"encoding/hex"
	"io"
	"mime"
	"mime/multipart"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

const (
	defaultMaxFileBytes = 200 << 20
	purposeBatch        = "batch"
	maxFieldBytes       = 1 << 10 // of a form field beside the file
	uploadChunkBytes    = 256 << 10
)

func newID(prefix string) string {
	id := uuid.New()
	return prefix + hex.EncodeToString(id[:])
}

// uploadFile takes a multipart form with the fields file and purpose, in any
// order, and passes the file on as it comes.
func (a *API) uploadFile(c fiber.Ctx, who caller) error {
	form, err := formReader(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	u := &upload{api: a, who: who, limit: fileLimit(who)}
	if err := u.readForm(ctx, form); err != nil {
		return err
	}
	file, err := u.finish()
	if err != nil {
		return err
	}
	a.log.Info("file_uploaded", "file", file.ID, "workspace", who.workspace.Name, "bytes", file.Bytes)
	return c.JSON(fileObjectOf(file))
}

func fileLimit(who caller) int64 {
	if n := who.index.Document().Limits.MaxBatchFileBytes; n > 0 {
		return min(int64(n), batch.MaxFileBytes)
	}
	return defaultMaxFileBytes
}

func formReader(c fiber.Ctx) (*multipart.Reader, error) {
	mediaType, params, err := mime.ParseMediaType(c.Get(fiber.HeaderContentType))
	if err != nil || mediaType != fiber.MIMEMultipartForm || params["boundary"] == "" {
		return nil, outcome.New(outcome.BadRequest, outcome.NotRun, "the body must be multipart/form-data")
	}
	body := c.Request().BodyStream()
	if body == nil {
		body = bytesReader(c.Request().Body())
	}
	return multipart.NewReader(body, params["boundary"]), nil
}

// upload is one file on its way to control.
type upload struct {
	api     *API
	who     caller
	limit   int64
	purpose string
	stream  *wire.Stream
}

func (u *upload) readForm(ctx context.Context, form *multipart.Reader) error {
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return u.check()
		}
		if err != nil {
			return brokenForm(err)
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			if err != nil {
				return brokenForm(err)
			}
			u.purpose = string(text)
		case "file":
			if err := u.send(ctx, part); err != nil {
				return err
			}
		}
	}
}

func brokenForm(err error) error {
	return outcome.New(outcome.BadRequest, outcome.NotRun, "the form is not whole: %v", err)
}

// check runs before the end of the file is sent, so that a file with faults in
// the form is never recorded.
func (u *upload) check() error {
	switch {
	case u.stream == nil:
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the field file is missing")
	case u.purpose != purposeBatch:
		u.stream.Close()
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the field purpose must be %q", purposeBatch)
	}
	return nil
}

// send passes the contents of the file on.
func (u *upload) send(ctx context.Context, part *multipart.Part) error {
	if u.stream != nil {
		return outcome.New(outcome.BadRequest, outcome.NotRun, "the form has more than one file")
	}
	stream, err := u.api.openUpload(ctx)
	if err != nil {
		return err
	}
	u.stream = stream
	if err := u.copy(part); err != nil {
		stream.Close()
		return err
	}
	return nil
}

func (u *upload) copy(part *multipart.Part) error {
	open := rpc.FilePutOpen{ID: newID("file-"), Workspace: u.who.workspace.Name, Name: part.FileName(), Purpose: purposeBatch}
	if err := u.stream.Send(&open); err != nil {
		return u.lost(err)
	}
	sent := int64(0)
	buffer := make([]byte, uploadChunkBytes)
	for {
		n, err := io.ReadFull(part, buffer)
		sent += int64(n)
		if sent > u.limit {
			return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "the file exceeds %d bytes", u.limit)
		}
		if n > 0 {
			if err := u.stream.Send(&rpc.FileChunk{Data: buffer[:n]}); err != nil {
				return u.lost(err)
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return brokenForm(err)
		}
	}
}

// lost explains a failed send by control's own answer, if there is one. The
// file was not recorded, since its end was never sent.
func (u *upload) lost(err error) error {
	var answer batch.File
	var refusal *outcome.Error
	if errors.As(u.stream.Recv(&answer), &refusal) {
		return refusal
	}
	return outcome.New(outcome.Unreachable, outcome.NotRun, "upload to control broke: %v", err)
}

func (u *upload) finish() (*batch.File, error) {
	defer u.stream.Close()
	if err := u.stream.CloseSend(); err != nil {
		return nil, u.lost(err)
	}
	var file batch.File
	if err := u.stream.Recv(&file); err != nil {
		var refusal *outcome.Error
		if errors.As(err, &refusal) {
			return nil, refusal
		}
		return nil, outcome.New(outcome.Unreachable, outcome.MayHaveRun, "upload to control broke: %v", err)
	}
	return &file, nil
}

func (a *API) listFiles(c fiber.Ctx, who caller) error {
	after, limit, err := page(c)
	if err != nil {
		return err
	}
	var files rpc.FileList
	request := rpc.ListRequest{Workspace: who.workspace.Name, After: after, Limit: limit}
	if err := a.call(rpc.MethodFileList, &request, &files); err != nil {
		return err
	}
	objects := make([]fileObject, 0, len(files.Files))
	for _, f := range files.Files {
		objects = append(objects, fileObjectOf(f))
	}
	return c.JSON(newList(objects, files.More, func(f fileObject) string { return f.ID }))
}

func (a *API) info(c fiber.Ctx, who caller) (*batch.File, error) {
	file := new(batch.File)
	ref := rpc.FileRef{Workspace: who.workspace.Name, ID: param(c, "id")}
	return file, a.call(rpc.MethodFileInfo, &ref, file)
}

func (a *API) fileInfo(c fiber.Ctx, who caller) error {
	file, err := a.info(c, who)
	if err != nil {
		return err
	}
	return c.JSON(fileObjectOf(file))
}

// fileContent streams a file. Its length is announced first, so that a
// download that breaks off is never taken for the whole.
func (a *API) fileContent(c fiber.Ctx, who caller) error {
	file, err := a.info(c, who)
	if err != nil {
		return err
	}
	contents, err := a.openFile(who.workspace.Name, file.ID)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, "application/octet-stream")
	return c.SendStream(contents, int(file.Bytes))
}

func (a *API) deleteFile(c fiber.Ctx, who caller) error {
	ref := rpc.FileRef{Workspace: who.workspace.Name, ID: param(c, "id")}
	if err := a.call(rpc.MethodFileDelete, &ref, &rpc.Ack{}); err != nil {
		return err
	}
	return c.JSON(deletedObject{ID: ref.ID, Object: "file", Deleted: true})
}
