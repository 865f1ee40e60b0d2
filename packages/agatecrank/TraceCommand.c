#include <argtable2.h>
#include <stdio.h>

#include "Command.h"
#include "Error.h"
#include "RequestTrace.h"

#define FILE_COUNT_MAX 1000
#define READ_CHUNK_BYTES 65536

static void
read_stdin(GString *lines)
{
    char bytes[READ_CHUNK_BYTES];
    size_t length;

    while ((length = fread(bytes, 1, sizeof(bytes), stdin)) > 0) {
        g_string_append_len(lines, bytes, (gssize)length);
    }
}

static bool
read_files(const struct arg_file *files, GString *lines)
{
    if (files->count == 0) {
        read_stdin(lines);
        return true;
    }
    for (int i = 0; i < files->count; i++) {
        GString *text = Command_ReadFile(files->filename[i]);

        if (text == NULL) {
            return false;
        }
        g_string_append_len(lines, text->str, (gssize)text->len);
        if (text->len > 0 && text->str[text->len - 1] != '\n') {
            g_string_append_c(lines, '\n');
        }
        g_string_free(text, TRUE);
    }
    return true;
}

static int
trace(const char *id, const struct arg_file *files)
{
    GString *lines = g_string_new(NULL);
    GString *out = g_string_new(NULL);
    int code = COMMAND_USAGE;

    if (read_files(files, lines)) {
        code =
            RequestTrace_Write(Str_FromString(lines), Str_FromC(id), out) == 0
                ? COMMAND_OK
                : COMMAND_REFUSED;
        fwrite(out->str, 1, out->len, stdout);
    }
    g_string_free(lines, TRUE);
    g_string_free(out, TRUE);
    return code;
}

int
TraceCommand_Run(int argc, char **argv)
{
    struct arg_str *id = arg_str1(NULL, NULL, "ID", "id of the request");
    struct arg_file *files =
        arg_filen(NULL, NULL, "FILE", 0, FILE_COUNT_MAX,
                  "log files of gateway hosts (default: standard input)");
    struct arg_lit *help = arg_lit0("h", "help", "print this help");
    struct arg_end *end = arg_end(4);
    void *table[] = {id, files, help, end};
    int errors = arg_parse(argc, argv, table);
    int code = COMMAND_USAGE;

    if (help->count > 0) {
        printf("Usage: agatecrank trace ID [FILE...]\n\nShows the outcome and "
               "cause of a request from the log lines of gateway\nhosts, and "
               "where to look next. Needs no network.\n\n");
        arg_print_glossary(stdout, table, "  %-14s %s\n");
        printf("\nExit codes: 0 found, 1 wrong options or file, 2 no log line "
               "has the id.\n");
        code = COMMAND_OK;
    }
    else if (errors > 0) {
        arg_print_errors(stderr, end, "agatecrank trace");
    }
    else {
        code = trace(id->sval[0], files);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
