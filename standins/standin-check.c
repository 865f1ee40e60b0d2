#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

#include "JournalCheck.h"

#define FILES_MAX 256

static int
read_all(JournalCheck *check, struct arg_file *files,
         JournalLineHandler *handler)
{
    Error error;

    for (int i = 0; i < files->count; i++) {
        if (JournalFile_Read(files->filename[i], handler, check, &error) < 0) {
            fprintf(stderr, "%s: %s\n", files->filename[i], error.text);
            return ERR_IO;
        }
    }
    return 0;
}

static int
print_totals(const JournalTotals *totals)
{
    uint64_t sum = 0;

    printf("executions=%" G_GUINT64_FORMAT "\n", totals->executions);
    printf("attempts=%" G_GUINT64_FORMAT "\n", totals->attempts);
    printf("keys=%" G_GUINT64_FORMAT "\n", totals->keys);
    for (int i = 0; i < VIOLATION_COUNT; i++) {
        printf("%s=%" G_GUINT64_FORMAT "\n", Violation_Name((Violation)i),
               totals->violations[i]);
        sum += totals->violations[i];
    }
    printf("violations=%" G_GUINT64_FORMAT "\n", sum);
    return sum > 0 ? 1 : 0;
}

static int
check_all(struct arg_file *upstreams, struct arg_file *callers)
{
    JournalCheck *check = JournalCheck_Create(stdout);
    JournalTotals totals;
    int code = 2;

    if (read_all(check, upstreams, JournalCheck_AddUpstreamLine) == 0 &&
        read_all(check, callers, JournalCheck_AddCallerLine) == 0) {
        totals = JournalCheck_Evaluate(check);
        code = print_totals(&totals);
    }
    JournalCheck_Destroy(check);
    return code;
}

int
main(int argc, char **argv)
{
    struct arg_file *upstreams = arg_filen("u", "upstream", "<file>", 1,
                                           FILES_MAX, "journal of upstreams");
    struct arg_file *callers = arg_filen("c", "caller", "<file>", 1, FILES_MAX,
                                         "journal of a caller");
    struct arg_end *end = arg_end(8);
    void *table[] = {upstreams, callers, end};
    int code = 2;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, NULL);
    }
    else {
        code = check_all(upstreams, callers);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return code;
}
